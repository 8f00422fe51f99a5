#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>

#include <cstdint>
#include <string>
#include <vector>

namespace radishcross::rollout {

/// State of a roll-out; the last two are final.
enum class Phase : uint8_t { Running, Completed, RolledBack };

constexpr base::EnumName<Phase> PhaseNames[] = {
    {Phase::Running, "running"},
    {Phase::Completed, "completed"},
    {Phase::RolledBack, "rolled back"},
};

/// Bounds on what a bad version may get.
struct Bounds {
  /// Of a service's calls during the period, over all nodes together.
  uint32_t ExposurePermille = 0;
  uint32_t ExposureSlack = 0; ///< Calls above that share.
  base::Duration Rollback{};  ///< From the 50th bad answer to the last call.

  bool operator==(const Bounds &) const = default;
};

/// An operator's order to move a service to another version.
struct Order {
  std::string Service;
  std::string Version;     ///< Of the targets that take over.
  base::Duration Period{}; ///< In which it must be completed.
  uint64_t At = 0;         ///< Offset of the order; a newer one is greater.
};

/// The state of a roll-out as the store keeps it.
struct Progress {
  uint64_t OrderAt = 0;
  std::string Version;
  Phase State = Phase::Running;
  uint32_t Step = 0;    ///< Row of the plan.
  base::Duration Age{}; ///< Of the order when this was written.

  bool isFinal() const { return State != Phase::Running; }
  bool operator==(const Progress &) const = default;
};

/// A state with its offset in the store. A greater offset is newer.
struct StoredProgress {
  uint64_t Offset = 0;
  Progress Value;
};

/// Answers that were counted.
struct Tally {
  uint64_t Answers = 0;
  uint64_t Bad = 0; ///< Failed, or several times slower than the old version.

  void add(const Tally &other) {
    Answers += other.Answers;
    Bad += other.Bad;
  }
  bool operator==(const Tally &) const = default;
};

/// Answers of both versions on one route.
struct RouteTally {
  std::string Route;
  Tally New;
  Tally Old;
};

/// What one node has counted since it learned of the order.
struct NodeCounts {
  std::string Node;
  uint64_t OrderAt = 0;
  uint64_t Boot = 0;     ///< Increases with each start of the node.
  uint64_t Sequence = 0; ///< Increases with each report of one boot.
  /// A decider has told the node that the version is bad.
  bool IsHalted = false;
  std::vector<RouteTally> Routes;
};

} // namespace radishcross::rollout
