#include <LibBalance/HedgeDelay.h>

#include <algorithm>

namespace radishcross::balance {

namespace {

constexpr int64_t DecayDivisor = 64;

} // namespace

void HedgeDelay::observed(base::Duration latency) {
  SlowestLatency =
      std::max(latency, SlowestLatency - SlowestLatency / DecayDivisor);
}

base::Duration HedgeDelay::delay(base::Duration remaining) const {
  const auto wanted =
      std::max(MinimumDelay, SlowestLatency * SlowestLatencyFactor);
  const bool fits = wanted + minimumRemaining(wanted) <= remaining;
  return fits ? wanted : base::Duration::zero();
}

} // namespace radishcross::balance
