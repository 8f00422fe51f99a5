#pragma once

#include <LibBase/Random.h>
#include <LibRollout/AnswerJudge.h>
#include <LibRollout/Evidence.h>
#include <LibRollout/RolloutTypes.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace radishcross::rollout {

/// What a version is to a service at present.
enum class Role : uint8_t {
  Old,      ///< Gets what the new version doesn't.
  New,      ///< Gets the share of the step.
  Withheld, ///< Of a roll-out that was rolled back or given up.
};

/// Which targets a call may go to. Withheld ones never get it.
enum class Placing : uint8_t { Any, OldOnly, NewOnly };

/// Why a call is placed as it is, for metrics and logs.
enum class Basis : uint8_t {
  NoOrder,
  Completed,
  RolledBack,
  NoOldTarget,
  NoNewTarget,
  LocalCut, ///< By this node's own evidence.
  Halted,   ///< By a decider's notice.
  NoLease,  ///< The state of the roll-out is not known.
  Share,
};

constexpr base::EnumName<Basis> BasisNames[] = {
    {Basis::NoOrder, "no order"},
    {Basis::Completed, "completed"},
    {Basis::RolledBack, "rolled back"},
    {Basis::NoOldTarget, "no old target"},
    {Basis::NoNewTarget, "no new target"},
    {Basis::LocalCut, "local cut"},
    {Basis::Halted, "halted"},
    {Basis::NoLease, "no lease"},
    {Basis::Share, "share"},
};

struct PlacingAnswer {
  Placing Where = Placing::Any;
  Basis Why = Basis::NoOrder;
};

/// Gives the calls of one service at one node to the versions of its targets.
/// A step holds only for a lease, so that a node that cannot learn the state of
/// a roll-out keeps to the old version.
class VersionGate {
public:
  /// Time for which a state holds after the decider confirmed it in the store.
  /// A notice's way is not counted, so it may last twice as long, which is to
  /// stay below the 5 s in which a bad version must be rolled back.
  static constexpr base::Duration LeaseTime = std::chrono::milliseconds(2400);

  /// \p randomSeed must differ from node to node: it sets which call of a node
  /// is the first to go to the new version.
  VersionGate(const Bounds &bounds, uint64_t randomSeed);

  /// Applies an order; returns whether it is newer than the one held.
  bool ordered(const Order &order);

  /// Applies a state that was confirmed \p age ago; returns whether it is newer
  /// than the one held. An older one changes nothing.
  bool learned(const StoredProgress &progress, base::Duration age,
               base::TimePoint now);

  /// Stops the new version of the order at \p orderAt until it is completed.
  void halted(uint64_t orderAt);

  Role roleOf(std::string_view version) const;

  /// How long a version that appears beside others is held back without an
  /// order: its order may be about to arrive.
  static constexpr base::Duration UnorderedHold = std::chrono::seconds(3);

  /// Notes the ready targets of each version.
  void targetsListed(std::map<std::string, size_t, std::less<>> ready,
                     base::TimePoint now);

  /// Returns whether a version that is not ordered gets nothing yet: others
  /// with more ready targets were there before.
  bool isHeldBack(std::string_view version, base::TimePoint now) const;

  /// Returns whether place() or isHeldBack() may prefer a version at \p now.
  bool mayDiffer(base::TimePoint now) const;

  /// Decides for one attempt and counts it. \p hasOld, \p hasNew: a target of
  /// that role is listed.
  PlacingAnswer place(bool hasOld, bool hasNew, base::TimePoint now);

  /// Records an answer of a target of \p version; returns the reason if this
  /// node stops the new version because of it.
  std::optional<Finding> answered(const std::string &route,
                                  std::string_view version, bool failed,
                                  base::Duration latency, base::TimePoint now);

  /// Returns the share of the new version at \p now, permille.
  uint32_t sharePermille(base::TimePoint now) const;

  /// Returns what was counted since the order. The sequence increases with each
  /// call.
  NodeCounts report(std::string node, uint64_t boot);

  const std::optional<Order> &order() const { return Current; }
  const std::optional<StoredProgress> &progress() const { return Known; }
  bool isCut() const { return IsCut; }

private:
  Basis basis(bool hasOld, bool hasNew, base::TimePoint now) const;
  bool takeShare(base::TimePoint now);

  Bounds Limits;
  base::Random Phases;
  std::optional<Order> Current;
  std::optional<StoredProgress> Known;
  base::TimePoint LeaseEnd{};
  /// Versions of earlier orders that were not completed.
  std::set<std::string, std::less<>> Abandoned;
  AnswerJudge Judge;
  Evidence Own;
  std::map<std::string, RouteTally, std::less<>> Counts;
  std::map<std::string, size_t, std::less<>> Ready; ///< Targets by version.
  std::map<std::string, base::TimePoint, std::less<>> FirstSeen;
  uint64_t Sequence = 0;
  uint64_t Calls = 0; ///< Since the order was learned.
  uint64_t NewCalls = 0;
  uint64_t Credit = 0; ///< Permille of a call that the new version may get.
  bool IsCut = false;
  bool IsHalted = false;
};

} // namespace radishcross::rollout
