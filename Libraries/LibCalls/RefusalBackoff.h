#pragma once

#include <LibBase/Clock.h>

#include <cstdint>

namespace radishcross::calls {

/// Whether a target refuses what it is sent. One that refuses at once has the
/// fewest calls in flight and so seems the least loaded: it would draw calls
/// away from those that run them. After refusals in a row it is left alone for
/// a pause, which doubles with each further one. One whose node says that it
/// leaves is left alone at once, but may still run a short call.
class RefusalBackoff {
public:
  /// One refusal alone happens to a target that is full for a moment.
  static constexpr uint32_t MinimumStreak = 2;
  static constexpr base::Duration InitialBackoff =
      std::chrono::milliseconds(250);
  /// A target that takes calls again is found within this time.
  static constexpr base::Duration MaximumBackoff = std::chrono::seconds(2);

  /// Takes that the target itself refused a call.
  void refused(base::TimePoint now);

  /// Takes that the target's node refused a call as it or the target leaves.
  void refusedDraining(base::TimePoint now) {
    AvoidedUntil = now + MaximumBackoff;
  }

  /// Takes an answer. Calls from before a leave are still answered.
  void answered() {
    ConsecutiveRefusals = 0;
    BackoffUntil = {};
  }

  /// Takes that the fleet says something else of the target than before.
  void announced() { AvoidedUntil = {}; }

  bool isBackingOff(base::TimePoint now) const { return now < BackoffUntil; }

  /// Tells whether other targets are to be asked first.
  bool isAvoided(base::TimePoint now) const {
    return isBackingOff(now) || now < AvoidedUntil;
  }

private:
  uint32_t ConsecutiveRefusals = 0;
  base::TimePoint BackoffUntil{};
  base::TimePoint AvoidedUntil{};
};

} // namespace radishcross::calls
