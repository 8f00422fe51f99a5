#include <LibCalls/RefusalBackoff.h>

#include <algorithm>

namespace radishcross::calls {

void RefusalBackoff::refused(base::TimePoint now) {
  if (isBackingOff(now) || ++ConsecutiveRefusals < MinimumStreak)
    return; // Calls that were under way lengthen no pause.
  auto backoff = InitialBackoff;
  for (uint32_t n = MinimumStreak;
       n < ConsecutiveRefusals && backoff < MaximumBackoff; ++n)
    backoff *= 2;
  BackoffUntil = now + std::min(backoff, MaximumBackoff);
}

} // namespace radishcross::calls
