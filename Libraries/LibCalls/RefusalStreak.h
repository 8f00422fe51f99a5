#pragma once

#include <LibBase/Clock.h>

#include <cstdint>

namespace radishcross::calls {

/// Whether a target refuses what it is sent. One that refuses at once has the
/// fewest calls in flight and so seems the least loaded: it would draw calls
/// away from those that run them. After refusals in a row it is left alone for
/// a pause, which doubles with each further one.
class RefusalStreak {
public:
  /// One refusal alone happens to a target that is full for a moment.
  static constexpr uint32_t Least = 2;
  static constexpr base::Duration FirstPause = std::chrono::milliseconds(250);
  /// A target that takes calls again is found within this time.
  static constexpr base::Duration LongestPause = std::chrono::seconds(2);

  /// Takes that the target itself refused a call.
  void refused(base::TimePoint now);

  void answered() { *this = {}; }

  bool pauses(base::TimePoint now) const { return now < PausesUntil; }

private:
  uint32_t InRow = 0;
  base::TimePoint PausesUntil{};
};

} // namespace radishcross::calls
