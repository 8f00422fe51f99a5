#pragma once

#include <LibBase/Clock.h>

#include <cstdint>

namespace radishcross::calls {

/// Whether a target refuses what it is sent. One that refuses at once has the
/// fewest calls in flight and so seems the least loaded: it would draw calls
/// away from those that run them. After refusals in a row it is left alone for
/// a pause, which doubles with each further one. One whose node says that it
/// leaves is left alone at once, but may still run a short call.
class RefusalStreak {
public:
  /// One refusal alone happens to a target that is full for a moment.
  static constexpr uint32_t Least = 2;
  static constexpr base::Duration FirstPause = std::chrono::milliseconds(250);
  /// A target that takes calls again is found within this time.
  static constexpr base::Duration LongestPause = std::chrono::seconds(2);

  /// Takes that the target itself refused a call.
  void refused(base::TimePoint now);

  /// Takes that the target's node refused a call as it or the target leaves.
  void refusedLeaving(base::TimePoint now) { LeavesUntil = now + LongestPause; }

  /// Takes an answer. Calls from before a leave are still answered.
  void answered() {
    InRow = 0;
    PausesUntil = {};
  }

  /// Takes that the fleet says something else of the target than before.
  void announced() { LeavesUntil = {}; }

  bool pauses(base::TimePoint now) const { return now < PausesUntil; }

  /// Tells whether other targets are to be asked first.
  bool isLeftAlone(base::TimePoint now) const {
    return pauses(now) || now < LeavesUntil;
  }

private:
  uint32_t InRow = 0;
  base::TimePoint PausesUntil{};
  base::TimePoint LeavesUntil{};
};

} // namespace radishcross::calls
