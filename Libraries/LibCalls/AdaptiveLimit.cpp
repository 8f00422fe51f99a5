#include <LibCalls/AdaptiveLimit.h>

#include <algorithm>

namespace radishcross::calls {

namespace {

/// Share of a window's mean that enters the baseline: a fall is believed soon,
/// a rise only slowly, so that an overloaded target does not become the norm.
constexpr uint64_t FallDivisor = 4;
constexpr uint64_t RiseDivisor = 64;

/// Each narrowing keeps nine tenths, and at least a quarter of the announced.
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
  it.Sum += static_cast<uint64_t>(std::max<int64_t>(latency.count(), 1));
  ++it.Calls;
  SaturatedCalls += saturated ? 1 : 0;
  if (++Calls >= Window)
    closeWindow();
}

void AdaptiveLimit::refused() { narrow(); }

void AdaptiveLimit::closeWindow() {
  uint64_t weighted = 0;
  uint64_t compared = 0;
  for (auto &it : Baselines) {
    if (it.Calls == 0)
      continue;
    const uint64_t mean = it.Sum / it.Calls;
    if (it.Microseconds == 0)
      it.Microseconds = mean;
    weighted += mean * 1000 / it.Microseconds * it.Calls;
    compared += it.Calls;
    if (mean < it.Microseconds)
      it.Microseconds -= (it.Microseconds - mean) / FallDivisor;
    else
      it.Microseconds += (mean - it.Microseconds) / RiseDivisor;
    it.Microseconds = std::max<uint64_t>(it.Microseconds, 1);
    it.Sum = 0;
    it.Calls = 0;
  }
  const bool mostlySaturated = SaturatedCalls * 2 >= Calls;
  Calls = 0;
  SaturatedCalls = 0;
  if (weighted > OverloadPermille * compared && mostlySaturated)
    narrow();
  else
    Limit = std::min(Announced, Limit + 1);
}

void AdaptiveLimit::narrow() {
  const uint32_t least = std::max(1U, Announced / LeastDivisor);
  Limit = std::max(least, Limit * KeptTenths / 10);
}

} // namespace radishcross::calls
