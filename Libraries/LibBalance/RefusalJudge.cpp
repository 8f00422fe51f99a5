#include <LibBalance/RefusalJudge.h>

#include <algorithm>

namespace radishcross::balance {

RefusalKind RefusalJudge::refused(const std::optional<TargetLoad> &stated,
                                  uint64_t sent, base::TimePoint now) {
  if (now - LastAt > StreakLifetime)
    Streak = 0;
  LastAt = now;
  Streak = std::min(Streak + 1, MaximumStreak);
  if (Streak >= MaximumStreak || !stated || stated->Running >= stated->Slots)
    return RefusalKind::Full;
  // Work that this node doesn't know of takes up room, or the figures are
  // false.
  const uint64_t held = uint64_t{stated->Running} + stated->Waiting;
  return held > sent ? RefusalKind::Full : RefusalKind::Spurious;
}

} // namespace radishcross::balance
