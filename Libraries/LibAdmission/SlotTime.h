#pragma once

#include <LibBase/Clock.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace radishcross::admission {

/// How long calls of one kind hold a slot: a moving mean, and another one of
/// what they would have taken at the target's usual pace. Which of the two is
/// expected depends on which has foretold the times better: the pace that a
/// target states may be false.
class SlotTime {
public:
  /// Number of calls that the moving mean averages.
  static constexpr int64_t Memory = 8;
  /// The same for the mean at the usual pace, which has no bursts to follow.
  static constexpr int64_t UsualMemory = 32;

  /// Records the time that an answered call held its slot. \p pacePercent: as
  /// the target stated when it started.
  void observed(base::Duration taken,
                std::optional<uint32_t> pacePercent = std::nullopt) {
    if (pacePercent)
      observedAtPace(taken, *pacePercent);
    Seen = std::min(Seen + 1, Memory);
    Mean += (taken - Mean) / Seen;
  }

  /// Returns the mean; nothing before the first call has ended.
  std::optional<base::Duration> expected() const {
    return Seen > 0 ? std::optional(Mean) : std::nullopt;
  }

  /// Returns the time expected of a call that starts at the pace stated now.
  std::optional<base::Duration>
  expectedAt(std::optional<uint32_t> pacePercent) const {
    const bool isTrusted =
        pacePercent && UsualSeen >= Memory && PacedError < MeanError;
    return isTrusted ? std::optional(atPace(*pacePercent)) : expected();
  }

private:
  static constexpr int64_t UsualPercent = 100;

  base::Duration atPace(uint32_t percent) const {
    return Usual * static_cast<int64_t>(percent) / UsualPercent;
  }

  void observedAtPace(base::Duration taken, uint32_t percent) {
    if (UsualSeen > 0 && Seen > 0) {
      const auto follow = [this](base::Duration &error, base::Duration gap) {
        error += (std::chrono::abs(gap) - error) / UsualSeen;
      };
      follow(MeanError, taken - Mean);
      follow(PacedError, taken - atPace(percent));
    }
    UsualSeen = std::min(UsualSeen + 1, UsualMemory);
    Usual += (taken * UsualPercent / static_cast<int64_t>(percent) - Usual) /
             UsualSeen;
  }

  base::Duration Mean{};
  int64_t Seen = 0;
  base::Duration Usual{}; ///< Mean at the usual pace.
  int64_t UsualSeen = 0;
  base::Duration MeanError{}; ///< Mean gap between the mean and what was seen.
  base::Duration PacedError{};
};

} // namespace radishcross::admission
