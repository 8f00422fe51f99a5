#pragma once

#include <LibBase/Clock.h>

namespace radishcross::balance {

/// Computes when a hedged attempt at one service may start. The delay follows
/// the slowest answers, so that a slow service is not mistaken for one that
/// does not respond, and leaves enough time for the hedged attempt.
class HedgeDelay {
public:
  static constexpr base::Duration MinimumDelay = std::chrono::seconds(1);
  static constexpr int64_t SlowestLatencyFactor = 4;

  /// Records the latency of an answered attempt, or the timeout of one that was
  /// not answered.
  void observed(base::Duration latency);

  /// Returns the delay after which a hedged attempt may start, with \p
  /// remaining left for both attempts; 0: never.
  base::Duration delay(base::Duration remaining) const;

  /// Returns the time that must be left for a hedged attempt that starts \p
  /// delay after the first.
  static base::Duration minimumRemaining(base::Duration delay) {
    return delay / 3;
  }

private:
  base::Duration SlowestLatency{}; ///< Decays with each answer.
};

} // namespace radishcross::balance
