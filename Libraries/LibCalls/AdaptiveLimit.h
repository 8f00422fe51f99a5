#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>

namespace radishcross::calls {

/// Narrows the slots that a target announces while the latency that its node
/// observes says that it cannot carry them. Latencies are compared with a
/// baseline for each rank, so that a change in the mix of ranks is no sign of
/// overload.
/// FIXME: A target that is overloaded from its first call on has a baseline
/// that is too high; running a few calls with fewer slots would lower it, but
/// made urgent calls wait in a flood.
class AdaptiveLimit {
public:
  /// Calls that are averaged before the limit is looked at.
  static constexpr uint32_t Window = 32;
  /// Mean latency over its baseline, in permille, from which it is narrowed.
  static constexpr int64_t OverloadPermille = 2500;

  void setAnnounced(uint32_t slots);
  uint32_t current() const { return Limit; }

  /// Takes the latency of one answered call. \p saturated tells that all slots
  /// were in use while it ran.
  void answered(config::Rank rank, base::Duration latency, bool saturated);

  /// Takes that the target refused a call within its announced slots.
  void refused();

private:
  struct Baseline {
    int64_t Microseconds = 0;
    int64_t Seen = 0; ///< Calls that it stands for, up to a bound.
    int64_t Sum = 0;  ///< Of this window.
    int64_t Calls = 0;
    void follow(bool slow);
  };
  void closeWindow();
  void narrow();

  std::array<Baseline, config::RankCount> Baselines{};
  uint32_t Announced = 1;
  uint32_t Limit = 1;
  int64_t Calls = 0; ///< In this window.
  int64_t SaturatedCalls = 0;
};

} // namespace radishcross::calls
