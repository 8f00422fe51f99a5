#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>

namespace radishcross::admission {

/// Adaptive concurrency limit of one target: reduces the limit below the
/// announced slots while the observed latency shows that the target is
/// overloaded. Latencies are compared with a baseline for each rank, so that a
/// change in the mix of ranks does not look like overload.
/// FIXME: A target that is overloaded from its first call on gets a baseline
/// that is too high. Running a few calls with fewer slots would lower it, but
/// made urgent calls wait in a flood.
class AdaptiveLimit {
public:
  /// Number of calls that are averaged before the limit is adjusted.
  static constexpr uint32_t Window = 32;
  /// Ratio of mean latency to baseline, in permille, above which the limit is
  /// reduced.
  static constexpr int64_t OverloadPermille = 2500;

  void setAnnounced(uint32_t slots);
  uint32_t current() const { return Limit; }

  /// Records the latency of one answered call. \p saturated: all slots were in
  /// use when it started.
  void answered(config::Rank rank, base::Duration latency, bool saturated);

  /// Records that the target refused a call within its announced slots.
  void refused();

private:
  struct Baseline {
    int64_t Microseconds = 0;
    int64_t Seen = 0;  ///< Calls averaged so far, up to a bound.
    int64_t Sum = 0;   ///< Latencies of this window, microseconds.
    int64_t Calls = 0; ///< In this window.
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

} // namespace radishcross::admission
