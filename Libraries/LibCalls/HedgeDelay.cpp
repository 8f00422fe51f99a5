#include <LibCalls/HedgeDelay.h>

#include <algorithm>

namespace radishcross::calls {

namespace {

constexpr int64_t DecayDivisor = 64;

} // namespace

void AttemptTimer::observed(base::Duration latency) {
  Slowest = std::max(latency, Slowest - Slowest / DecayDivisor);
}

base::Duration AttemptTimer::hedgeAfter(base::Duration remaining) const {
  const auto wanted = std::max(Least, Slowest * SlowestFactor);
  const bool fits = wanted + leastLeft(wanted) <= remaining;
  return fits ? wanted : base::Duration::zero();
}

} // namespace radishcross::calls
