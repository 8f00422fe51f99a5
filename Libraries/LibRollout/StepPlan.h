#pragma once

#include <LibRollout/RolloutTypes.h>

#include <cstddef>
#include <cstdint>

namespace radishcross::rollout {

/// The steps of a roll-out. Up to LastCanaryStep the share stays below the
/// bound on exposure, so that a version that turns bad in these steps keeps
/// within it. The last step gives all new calls to the new version while calls
/// in flight at old targets end.
class StepPlan {
public:
  static constexpr uint32_t LastCanaryStep = 2;
  static constexpr uint32_t FullStep = 4;
  /// Part of the period after which the roll-out is completed, permille.
  static constexpr uint32_t CompletedPermille = 900;

  /// Returns the share of calls in \p step, permille.
  static uint32_t sharePermille(uint32_t step, const Bounds &bounds);

  /// Returns the age of an order at which \p step may begin at the earliest.
  static base::Duration beginOf(uint32_t step, base::Duration period);

  /// Returns the age of an order at which it may be completed.
  static base::Duration completionAge(base::Duration period);

  /// Returns the number of the new version's \p targets that share the calls at
  /// \p permille: as few as are needed, so that each of them has about the load
  /// that it will have in the end.
  static size_t targetsInUse(size_t targets, uint32_t permille);
};

} // namespace radishcross::rollout
