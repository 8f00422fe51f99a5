#pragma once

#include <LibBase/Clock.h>

namespace radishcross::calls {

/// When the first of two attempts may be cut at one service. It follows the
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

  /// Returns when a first attempt may be cut with \p remaining left for both;
  /// 0: never.
  base::Duration cutAfter(base::Duration remaining) const;

  /// Returns what must be left for the second attempt after a cut.
  static base::Duration leastLeft(base::Duration cutAfter) {
    return cutAfter / 3;
  }

private:
  base::Duration Slowest{}; ///< Decays with each answer.
};

} // namespace radishcross::calls
