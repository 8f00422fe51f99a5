#pragma once

#include <LibBase/Clock.h>

namespace radishcross::calls {

/// When a second attempt may start beside the first one at one service. It
/// follows the slowest answers, so that a slow service is not mistaken for a
/// silent one, and leaves time for the second attempt.
class HedgeDelay {
public:
  static constexpr base::Duration MinimumDelay = std::chrono::seconds(1);
  static constexpr int64_t SlowestLatencyFactor = 4;

  /// Takes the latency of an answered attempt, or the time that one was given
  /// before it timed out.
  void observed(base::Duration latency);

  /// Returns when a second attempt may start with \p remaining left for both;
  /// 0: never.
  base::Duration delay(base::Duration remaining) const;

  /// Returns what must be left for a second attempt that starts \p delay
  /// into the first.
  static base::Duration minimumRemaining(base::Duration delay) {
    return delay / 3;
  }

private:
  base::Duration SlowestLatency{}; ///< Decays with each answer.
};

} // namespace radishcross::calls
