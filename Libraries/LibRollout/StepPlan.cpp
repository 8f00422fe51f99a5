#include <LibRollout/StepPlan.h>

#include <algorithm>

namespace radishcross::rollout {

namespace {

constexpr uint32_t FullPermille = 1000;

struct PlannedStep {
  uint32_t BeginPermille; ///< Of the period.
  /// Of the bound on exposure in canary steps, else of all calls.
  uint32_t SharePermille;
};

constexpr PlannedStep Steps[] = {
    {0, 100}, {150, 300}, {350, 600}, {700, 250}, {760, 1000},
};
static_assert(std::size(Steps) == StepPlan::FullStep + 1);

base::Duration part(base::Duration period, uint32_t permille) {
  return period / FullPermille * permille;
}

} // namespace

uint32_t StepPlan::sharePermille(uint32_t step, const Bounds &bounds) {
  const auto &row = Steps[std::min(step, FullStep)];
  if (step > LastCanaryStep)
    return row.SharePermille;
  return std::min(bounds.ExposurePermille, FullPermille) * row.SharePermille /
         FullPermille;
}

base::Duration StepPlan::beginOf(uint32_t step, base::Duration period) {
  return part(period, Steps[std::min(step, FullStep)].BeginPermille);
}

base::Duration StepPlan::completionAge(base::Duration period) {
  return part(period, CompletedPermille);
}

size_t StepPlan::targetsInUse(size_t targets, uint32_t permille) {
  const auto wanted =
      (targets * std::min(permille, FullPermille) + FullPermille - 1) /
      FullPermille;
  return std::min(targets, std::max<size_t>(wanted, 1));
}

} // namespace radishcross::rollout
