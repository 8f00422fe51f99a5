#pragma once

#include <LibBalance/KnownTarget.h>
#include <LibBase/Clock.h>
#include <LibFleet/Member.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishcross::balance {

/// The targets of all services, updated from the fleet's members.
class TargetTable {
public:
  using Targets = std::vector<KnownTarget *>;

  /// Minimum interval between checks of ejections and silence.
  static constexpr base::Duration TickSpacing = std::chrono::milliseconds(100);

  /// How long what a target has stated about itself is kept after the target is
  /// no longer listed: its node may only be restarting.
  static constexpr base::Duration StatementRetention = std::chrono::minutes(10);

  /// Updates the targets from the fleet's members; a member whose incarnation,
  /// revision and state are unchanged is skipped. The state of a target is kept
  /// while it is listed or calls to it are in flight, and for
  /// StatementRetention if the target has stated something that binds its
  /// callers. Returns the targets that have changed.
  Targets membersChanged(const std::vector<fleet::Member> &members,
                         base::TimePoint now);

  /// Sets the drained services and VMs, as "service:NAME" and "vm:NODE".
  void drainedChanged(const std::vector<std::string> &drained);

  /// Returns the targets of a service that accept new calls.
  const Targets &usable(std::string_view serviceName) const;

  /// Returns the same of all services that have any.
  const std::map<std::string, Targets, std::less<>> &usableByService() const {
    return ByService;
  }

  /// Returns the listed targets of a service, usable or not.
  std::vector<const KnownTarget *> listed(std::string_view serviceName) const;

  /// Records that a target has stated that it is leaving. It gets no more calls
  /// of this node, whatever the fleet's members say of the same process.
  void leaving(KnownTarget &target);

  /// Returns a target by its id, or null.
  KnownTarget *find(uint64_t id);

  /// Ends ejections, detects silent paths, removes targets that are gone.
  /// Returns whether any of this happened.
  bool tick(base::TimePoint now);

private:
  struct SeenMember {
    uint64_t Incarnation = 0;
    uint64_t Revision = 0;
    fleet::MemberState State = fleet::MemberState::Dead;
    uint64_t Round = 0; ///< Number of the last list that contained it.
    Targets Listed;
  };
  bool markSeen(const fleet::Member &member);
  void updateMember(SeenMember &seen, const fleet::Member &member,
                    Targets &changed, base::TimePoint now);
  void unlist(const Targets &targets, Targets &changed, base::TimePoint now);
  KnownTarget &knownOf(const fleet::Member &member,
                       const fleet::TargetRecord &target);
  bool updateTarget(KnownTarget &known, const fleet::Member &member,
                    const fleet::TargetRecord &target, base::TimePoint now);
  bool drained(const KnownTarget &target) const;
  void rebuildIndex();

  std::map<uint64_t, std::unique_ptr<KnownTarget>> Known;
  std::map<std::string, Targets, std::less<>> ByService;
  std::unordered_map<fleet::NodeId, SeenMember> Seen;
  std::map<fleet::NodeId, std::weak_ptr<PathHealth>> Paths;
  std::set<std::string, std::less<>> Drained;
  uint64_t Round = 0;
  bool IndexStale = false;
  base::TimePoint LastTick{};
};

} // namespace radishcross::balance
