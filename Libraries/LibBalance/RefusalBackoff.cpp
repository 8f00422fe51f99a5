#include <LibBalance/RefusalBackoff.h>

#include <algorithm>

namespace radishcross::balance {

void RefusalBackoff::refused(base::TimePoint now) {
  if (isBackingOff(now) || ++ConsecutiveRefusals < MinimumStreak)
    return; // Calls that were already in flight don't extend the backoff.
  auto backoff = InitialBackoff;
  for (uint32_t n = MinimumStreak;
       n < ConsecutiveRefusals && backoff < MaximumBackoff; ++n)
    backoff *= 2;
  BackoffUntil = now + std::min(backoff, MaximumBackoff);
}

} // namespace radishcross::balance
