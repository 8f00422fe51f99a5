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
  // Little time is shared by halves, where answers show what silence is.
  const bool hasAnswers = SlowestLatency > base::Duration::zero();
  const auto silence =
      hasAnswers ? std::min(MinimumDelay, remaining / 2) : MinimumDelay;
  const auto wanted = std::max(silence, SlowestLatency * SlowestLatencyFactor);
  const bool fits = wanted + minimumRemaining(wanted) <= remaining;
  return fits ? wanted : base::Duration::zero();
}

} // namespace radishcross::balance
