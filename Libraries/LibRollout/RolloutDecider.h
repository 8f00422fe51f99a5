#pragma once

#include <LibRollout/Evidence.h>
#include <LibRollout/RolloutTypes.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::rollout {

/// What the shell shall do for a decider.
struct Action {
  enum class Kind : uint8_t {
    Read,  ///< Read the state; answer with readDone().
    Write, ///< Append Value if the states end at At; answer with writeDone().
    Tell,  ///< Tell all nodes Told, which was confirmed Age ago.
    Halt,  ///< Tell all nodes to stop the new version of the order.
  };
  Kind What = Kind::Read;
  uint64_t At = 0;
  Progress Value;
  StoredProgress Told;
  base::Duration Age{};
  uint64_t OrderAt = 0;
};

/// Answer to a read of the states.
struct ReadAnswer {
  bool Reached = false; ///< The store answered.
  uint64_t End = 0;     ///< One past the newest record of all services.
  std::optional<StoredProgress> Newest; ///< Of this service.
};

/// Answer to a conditional write. Unknown: it may have taken effect or may
/// still do so while its condition holds.
struct WriteAnswer {
  enum class Kind : uint8_t { Accepted, Refused, Unknown };
  Kind Outcome = Kind::Unknown;
  uint64_t Offset = 0; ///< Of the record, if accepted.
};

/// Why a roll-out was moved, for the log.
enum class Reason : uint8_t { Began, Proven, Finished, Fault, Halted, Overdue };

constexpr base::EnumName<Reason> ReasonNames[] = {
    {Reason::Began, "began"},       {Reason::Proven, "proven"},
    {Reason::Finished, "finished"}, {Reason::Fault, "fault"},
    {Reason::Halted, "halted"},     {Reason::Overdue, "overdue"},
};

/// Decides the roll-out of one service while its node is appointed. Every write
/// has the condition that nothing was written since the state was read, so that
/// any number of deciders at a time keep one order of states, and a final state
/// is never left.
class RolloutDecider {
public:
  /// Time between reads that confirm the state; must be below the lease.
  static constexpr base::Duration ConfirmInterval = std::chrono::seconds(1);
  /// Time between notices of an unchanged state.
  static constexpr base::Duration TellInterval = std::chrono::milliseconds(500);
  /// Time before the next call after the store refused or did not answer.
  static constexpr base::Duration RetryDelay = std::chrono::milliseconds(200);
  /// Answers of the new version, over all nodes, that prove the canary steps.
  static constexpr uint64_t LeastProof = 30;
  /// From a bad answer until all nodes have stopped the version: its report,
  /// the finding and the notice.
  static constexpr base::Duration StopTime = std::chrono::milliseconds(1500);
  /// Part of the period for which a step lasts at least, permille.
  static constexpr uint32_t LeastHoldPermille = 30;
  /// Part of the period for which the last step lasts at least, permille.
  static constexpr uint32_t LeastFullHoldPermille = 100;

  explicit RolloutDecider(const Bounds &bounds);

  void ordered(const Order &order, base::TimePoint now);
  /// Tells whether this node decides. Any node may be told so at any time.
  void appointed(bool isDecider) { IsAppointed = isDecider; }
  /// The ready targets of the new version and the listed ones of the old.
  void targets(size_t newReady, size_t oldListed);
  void counted(const NodeCounts &counts, base::TimePoint now);
  void readDone(const ReadAnswer &answer, base::TimePoint now);
  void writeDone(const WriteAnswer &answer, base::TimePoint now);

  std::vector<Action> tick(base::TimePoint now);

  const std::optional<StoredProgress> &known() const { return Known; }
  std::optional<Reason> lastReason() const { return LastMove; }
  const std::optional<Finding> &fault() const { return Fault; }

private:
  struct Move {
    Progress Next;
    Reason Why = Reason::Began;
  };
  base::Duration age(base::TimePoint now) const;
  bool hasCapacity() const;
  bool isProven(base::TimePoint now) const;
  bool isAffordable(uint32_t step, base::TimePoint now) const;
  std::optional<Move> decide(base::TimePoint now) const;
  std::optional<Move> advance(Progress next, base::TimePoint now) const;
  void take(const StoredProgress &progress, base::TimePoint now);
  void tellIfDue(std::vector<Action> &actions, base::TimePoint now);

  Bounds Limits;
  bool IsAppointed = false;
  std::optional<Order> Current;
  base::TimePoint OrderSeen{};
  Evidence Answers;
  std::optional<Finding> Fault;
  bool IsHalted = false;
  size_t NewTargets = 0;
  size_t OldTargets = 0;

  std::optional<StoredProgress> Known; ///< Of the current order.
  base::TimePoint KnownSince{};
  uint64_t End = 0;         ///< Of the states, as last read or written.
  bool MustRead = true;     ///< End may be out of date.
  bool IsBusy = false;      ///< A call to the store is under way.
  uint64_t BusyFor = 0;     ///< Offset of the order it was made for.
  base::TimePoint SentAt{}; ///< When that call was made.
  base::TimePoint ConfirmedAt{};
  base::TimePoint NotBefore{}; ///< Of the next call to the store.
  base::TimePoint ToldAt{};
  std::optional<Progress> Pending;
  std::optional<Reason> PendingWhy;
  std::optional<Reason> LastMove;
};

} // namespace radishcross::rollout
