#pragma once

#include <LibBase/Clock.h>

#include <cstdint>

namespace radishcross::balance {

/// Backoff from a target that refuses calls. A target that refuses at once has
/// the fewest calls in flight and so looks the least loaded: it would attract
/// calls away from the targets that run them. After consecutive refusals it is
/// avoided for a backoff, which doubles with each further refusal. A target
/// whose node answers that it is draining is avoided at once, but may still run
/// a short call.
class RefusalBackoff {
public:
  /// Consecutive refusals before the backoff starts. A single refusal may come
  /// from a target that is full for a moment.
  static constexpr uint32_t MinimumStreak = 2;
  static constexpr base::Duration InitialBackoff =
      std::chrono::milliseconds(250);
  /// Upper bound of the time until a recovered target is noticed.
  static constexpr base::Duration MaximumBackoff = std::chrono::seconds(2);

  /// Records that the target itself refused a call.
  void refused(base::TimePoint now);

  /// Records that the target's node refused a call because the node or the
  /// target is draining.
  void refusedDraining(base::TimePoint now) {
    AvoidedUntil = now + MaximumBackoff;
  }

  /// Records an answer. AvoidedUntil stays, because calls from before the drain
  /// are still answered.
  void answered() {
    ConsecutiveRefusals = 0;
    BackoffUntil = {};
  }

  /// Records that the target's state or process in the fleet has changed.
  void announced() { AvoidedUntil = {}; }

  bool isBackingOff(base::TimePoint now) const { return now < BackoffUntil; }

  /// Returns whether other targets are to be preferred.
  bool isAvoided(base::TimePoint now) const {
    return isBackingOff(now) || now < AvoidedUntil;
  }

private:
  uint32_t ConsecutiveRefusals = 0;
  base::TimePoint BackoffUntil{};
  base::TimePoint AvoidedUntil{};
};

} // namespace radishcross::balance
