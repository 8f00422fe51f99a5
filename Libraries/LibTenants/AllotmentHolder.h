#pragma once

#include <LibTenants/AllotmentMembers.h>
#include <LibTenants/AllotmentMessage.h>
#include <LibTenants/AllotmentPort.h>
#include <LibTenants/AllotmentSettings.h>

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishcross::tenants {

/// Totals of an AllotmentHolder since its start.
struct AllotmentCounts {
  uint64_t Granted = 0;
  uint64_t Refused = 0;
  uint64_t Asks = 0;
  uint64_t KeeperChanges = 0;
};

/// What a node has seen of one tenant since the tenant got its limit.
struct AllotmentReport {
  TenantLimit Limit;
  uint64_t Granted = 0; ///< At this node.
  uint64_t Refused = 0; ///< At this node.
  uint32_t Stock = 0;   ///< Tokens held.
  fleet::NodeId Keeper; ///< Asked for tokens; empty: none yet.
};

/// Holds tokens ahead of the requests that come in at this node, and lends the
/// node's share of the allotments to one keeper a group at a time. All times
/// are of a clock that counts suspension.
class AllotmentHolder {
public:
  /// \p firstSession must increase from process to process of the node.
  AllotmentHolder(fleet::NodeId self, AllotmentSettings settings,
                  uint64_t firstSession)
      : Settings(settings), NextSession(firstSession),
        Members(std::move(self), settings) {}

  void configure(const std::vector<TenantLimit> &limits);

  /// Replaces the view of the members, this node included; nodes that have left
  /// are not among them.
  void setMembers(const std::vector<AllotmentMember> &members,
                  base::TimePoint now);

  AllotmentVerdict take(std::string_view tenant, base::TimePoint now);
  /// As take(), for a request that is counted already.
  AllotmentVerdict retake(std::string_view tenant, base::TimePoint now);
  /// A request that take() has refused while it was asking waits no longer.
  void leave(std::string_view tenant);
  void giveBack(std::string_view tenant);

  /// Returns the asks that are due.
  std::vector<AllotmentSend> poll(base::TimePoint now);

  /// Accepts the answer of a keeper.
  void handle(std::string_view from, const AllotmentMessage &answer,
              base::TimePoint now);

  /// Returns the tenants whose refused requests may look again: answers for
  /// them have come since the last call.
  std::vector<std::string> takeAnswered() {
    return std::exchange(Answered, {});
  }

  /// Returns whether an ask should be sent sooner than by the next tick.
  bool isUrgent() const;

  /// Returns all tenants with a limit, by name.
  std::vector<AllotmentReport> report(base::TimePoint now) const;

  const AllotmentCounts &counts() const { return Counts; }
  const fleet::NodeId &keeper(uint32_t group) const {
    return Groups[group].Keeper;
  }

private:
  struct Pocket {
    TenantLimit Limit;
    uint32_t Group = 0;
    uint32_t Stock = 0;
    uint64_t Used = 0;
    base::TimePoint Until{};   ///< Stock lapses.
    double Demand = 0;         ///< Requests in about the last StockTime.
    base::TimePoint Decayed{}; ///< Demand is of this time.
    base::TimePoint LastTake{};
    bool IsReported = true; ///< The keeper knows Used and Stock.
    uint64_t AskedSequence = 0;
    uint64_t UsedAtAsk = 0;
    uint32_t Wanted = 0;
    uint32_t Askers = 0;           ///< Nodes that ask for it; 0: unknown.
    base::TimePoint ScarceUntil{}; ///< The keeper could not grant all wanted.
    base::TimePoint AskAgainAt{};  ///< Not asked for alone before this.
    uint32_t Refused = 0;          ///< Since the last answer.
    bool IsAwaited = false;        ///< Requests wait for the next answer.
    uint64_t TotalGranted = 0;
    uint64_t TotalRefused = 0;
  };
  struct Group {
    fleet::NodeId Keeper; ///< Asked now.
    fleet::NodeId Chosen; ///< To be asked once Keeper holds no share.
    bool HasTenants = false;
    bool IsOwner = false;   ///< This node owns a share of the allotments.
    bool IsLeaving = false; ///< Lends no more, to change to another keeper.
    bool IsUrgent = false;
    bool IsPending = false;
    uint64_t Session = 0;
    uint64_t Sequence = 0;
    uint64_t Stamp = 0;
    base::TimePoint Stamped{}; ///< Receipt of Stamp.
    base::TimePoint LastAsk{};
    base::TimePoint SilentSince{}; ///< The first ask without an answer.
    uint32_t Unanswered = 0;
    base::TimePoint LentUntil{};
    uint64_t LastLent = 0; ///< Sequence of the last ask that lent.
  };

  bool isWarm(const Pocket &pocket, base::TimePoint now) const;
  uint32_t targetOf(Pocket &pocket, base::TimePoint now) const;
  uint32_t spareOf(const Pocket &pocket) const;
  static bool useToken(Pocket &pocket, base::TimePoint now);
  void uncountRefusal(Pocket &pocket);
  void decay(Pocket &pocket, base::TimePoint now) const;
  void chooseKeepers(base::TimePoint now);
  void attach(uint32_t group);
  void followKeeper(uint32_t group, base::TimePoint now);
  bool isAskDue(const Group &group, base::TimePoint now) const;
  base::Duration askTimeout(const Group &group) const;
  base::Duration scarceSpacing(const Pocket &pocket) const;
  void ask(uint32_t group, base::TimePoint now,
           std::vector<AllotmentSend> &sends);
  uint32_t shareOf(const Group &group, base::TimePoint now) const;

  AllotmentSettings Settings;
  uint64_t NextSession;
  AllotmentMembers Members;
  std::map<fleet::NodeId, base::TimePoint> DoubtedUntil;
  bool IsChoiceStale = true;
  std::array<Group, AllotmentGroups> Groups;
  std::map<std::string, Pocket, std::less<>> Pockets;
  std::vector<std::string> Answered;
  AllotmentCounts Counts;
};

} // namespace radishcross::tenants
