#include <LibAdmission/AdaptiveLimit.h>

#include <algorithm>

namespace radishcross::admission {

namespace {

/// Number of calls over which a baseline averages. While the target is slow its
/// latencies have a smaller weight, so that overload does not become the
/// baseline. The weight is not zero, so that a service that has become slower
/// permanently does not stay limited for ever.
constexpr int64_t MemoryInCalls = 8192;
constexpr int64_t SlowMemoryInCalls = 8 * MemoryInCalls;
/// Ratio of mean latency to baseline, in permille, above which a target counts
/// as slow.
constexpr int64_t SlowPermille = 1250;

/// Each reduction keeps nine tenths of the limit, but at least a quarter of the
/// announced slots.
constexpr uint32_t KeptTenths = 9;
constexpr uint32_t LeastDivisor = 4;

} // namespace

void AdaptiveLimit::setAnnounced(uint32_t slots) {
  if (slots == Announced)
    return;
  Announced = std::max(slots, 1U);
  Limit = Announced;
}

void AdaptiveLimit::answered(config::Rank rank, base::Duration latency,
                             bool saturated) {
  auto &it = Baselines[static_cast<size_t>(rank)];
  it.Sum += std::max<int64_t>(latency.count(), 1);
  ++it.Calls;
  SaturatedCalls += saturated ? 1 : 0;
  if (++Calls >= Window)
    closeWindow();
}

void AdaptiveLimit::refused() { narrow(); }

void AdaptiveLimit::closeWindow() {
  int64_t weighted = 0;
  for (auto &it : Baselines) {
    if (it.Calls == 0)
      continue;
    const int64_t mean = it.Sum / it.Calls;
    it.Microseconds = it.Microseconds == 0 ? mean : it.Microseconds;
    weighted += mean * 1000 / it.Microseconds * it.Calls;
  }
  const bool overloaded =
      weighted > OverloadPermille * Calls && SaturatedCalls * 2 >= Calls;
  for (auto &it : Baselines)
    it.follow(weighted > SlowPermille * Calls);
  Calls = 0;
  SaturatedCalls = 0;
  if (overloaded)
    narrow();
  else
    Limit = std::min(Announced, Limit + 1);
}

/// Moves the baseline towards the mean of the window that has ended. The more
/// calls the baseline averages, the smaller the step.
void AdaptiveLimit::Baseline::follow(bool slow) {
  if (Calls == 0)
    return;
  const int64_t mean = Sum / Calls;
  Seen = std::min(Seen + Calls, MemoryInCalls);
  const int64_t memory = slow ? SlowMemoryInCalls : Seen;
  Microseconds += (mean - Microseconds) * Calls / memory;
  Microseconds = std::max<int64_t>(Microseconds, 1);
  Sum = 0;
  Calls = 0;
}

void AdaptiveLimit::narrow() {
  const uint32_t least = std::max(1U, Announced / LeastDivisor);
  Limit = std::max(least, Limit * KeptTenths / 10);
}

} // namespace radishcross::admission
