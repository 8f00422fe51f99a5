#pragma once

#include <LibBalance/RefusalKind.h>
#include <LibBalance/TargetLoad.h>
#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>

namespace radishcross::balance {

/// Tells at the target's node why the target refuses calls. Only a full target
/// gains from fewer calls: one that refuses some calls with slots free runs as
/// many as it is sent, and the calls kept from it are lost besides.
class RefusalJudge {
public:
  /// From this many refusals without an answer in between a target counts as
  /// full, whatever it states.
  static constexpr uint32_t MaximumStreak = 12;
  /// Refusals further apart than this are no streak.
  static constexpr base::Duration StreakLifetime = std::chrono::seconds(2);

  /// Judges a refusal. \p stated: the load on the refusal itself, if any;
  /// \p sent: calls that the target's node has at the target, including the
  /// one refused.
  RefusalKind refused(const std::optional<TargetLoad> &stated, uint64_t sent,
                      base::TimePoint now);

  /// Records that the target has answered a call.
  void answered() { Streak = 0; }

private:
  uint32_t Streak = 0; ///< Refusals since the last answer.
  base::TimePoint LastAt{};
};

} // namespace radishcross::balance
