#include <LibCalls/AttemptTimer.h>

#include <algorithm>

namespace radishcross::calls {

namespace {

constexpr int64_t DecayDivisor = 64;

} // namespace

void AttemptTimer::observed(base::Duration latency) {
  Slowest = std::max(latency, Slowest - Slowest / DecayDivisor);
}

base::Duration AttemptTimer::firstAttempt(base::Duration remaining) const {
  const auto wanted = std::max(Least, Slowest * SlowestFactor);
  return wanted <= remaining * 3 / 4 ? wanted : remaining;
}

} // namespace radishcross::calls
