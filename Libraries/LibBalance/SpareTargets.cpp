#include <LibBalance/SpareTargets.h>

#include <LibBalance/LoadBalancer.h>

#include <algorithm>

namespace radishcross::balance {

namespace {

constexpr int64_t FullPermille = 1000;

bool isLoadKnown(const KnownTarget &target, base::TimePoint now) {
  return target.Load.current(now) != LoadEstimate::NeutralPermille;
}

} // namespace

bool SpareTargets::hasRoom(const KnownTarget &target, base::TimePoint now) {
  const bool isSound = !target.Suspect && !target.IsLeaving &&
                       !target.Health.ejected() && !target.Health.probing() &&
                       !target.Path->isSuspect();
  const bool isInNeed = target.Refusals.isAvoided(now) ||
                        target.RefusedShare.permille(now) > 0 ||
                        target.Stated.rate().has_value();
  const bool isCold = now - target.ReadySince < LoadBalancer::SlowStart;
  const uint64_t slots = std::max(target.Candidate.Target.Slots, 1U);
  const uint64_t own = uint64_t{target.InFlight} * FullPermille / slots;
  return isSound && !isInNeed && !isCold && own < RoomPermille &&
         target.Load.current(now) < RoomPermille;
}

int64_t SpareTargets::headroomPermille(const TargetTable::Targets &targets,
                                       base::TimePoint now) {
  int64_t known = 0;
  int64_t spare = 0;
  for (const auto *it : targets) {
    const bool hasSpare = hasRoom(*it, now);
    known += isLoadKnown(*it, now) ? 1 : 0;
    spare += hasSpare ? 1 : 0;
  }
  if (known == 0)
    return 0;
  const auto share = spare * FullPermille / known;
  return std::clamp<int64_t>((share - NoHeadroomPermille) * FullPermille /
                                 (FullHeadroomPermille - NoHeadroomPermille),
                             0, FullPermille);
}

} // namespace radishcross::balance
