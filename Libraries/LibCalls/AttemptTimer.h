#pragma once

#include <LibBase/Clock.h>

namespace radishcross::calls {

/// How long the first of two attempts may take at one service. It follows the
/// slowest answers, so that a slow service is not mistaken for a silent one,
/// and leaves time for the second attempt. Where that much time isn't left, the
/// first attempt has it all: cutting work that runs would waste its slot.
class AttemptTimer {
public:
  static constexpr base::Duration Least = std::chrono::seconds(1);
  static constexpr int64_t SlowestFactor = 4;

  /// Takes the latency of an answered attempt, or the time that one was given
  /// before it timed out.
  void observed(base::Duration latency);

  /// Returns the timeout of a first attempt with \p remaining left for both.
  base::Duration firstAttempt(base::Duration remaining) const;

private:
  base::Duration Slowest{}; ///< Decays with each answer.
};

} // namespace radishcross::calls
