#include <LibCalls/RefusalBackoff.h>

#include <algorithm>

namespace radishcross::calls {

void RefusalStreak::refused(base::TimePoint now) {
  if (pauses(now) || ++InRow < Least)
    return; // Calls that were under way lengthen no pause.
  auto pause = FirstPause;
  for (uint32_t n = Least; n < InRow && pause < LongestPause; ++n)
    pause *= 2;
  PausesUntil = now + std::min(pause, LongestPause);
}

} // namespace radishcross::calls
