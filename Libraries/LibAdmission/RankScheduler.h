#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>
#include <LibConfig/Resources.h>

#include <array>
#include <cstdint>
#include <optional>

namespace radishcross::admission {

/// One flag for each rank.
using RankFlags = std::array<bool, config::RankCount>;

/// Decides which rank gets a free slot of one target: strict priority, except
/// that a lower rank with credit for its floor goes first. Floors are
/// guaranteed shares of slot time, accounted as credit: a rank in demand earns
/// its share of all slot time used and pays for the time of its own calls. So a
/// floor of 5% also holds at a target with 6 slots, where it is less than one
/// slot.
class RankScheduler {
public:
  void setLimits(const config::ServiceLimits &limits);

  /// Returns the rank to serve next, or nothing if no rank has waiting calls.
  std::optional<config::Rank> next(const RankFlags &waiting) const;

  /// Returns whether a rank has credit for slot time.
  bool hasCredit(config::Rank rank) const;

  /// Charges the start of a call with its expected slot time. \p demand: the
  /// ranks that had calls recently.
  void started(config::Rank rank, base::Duration expected,
               const RankFlags &demand);

  /// Replaces the charged slot time of a call by the actual time.
  void ended(config::Rank rank, base::Duration charged, base::Duration taken,
             const RankFlags &demand);

private:
  void account(config::Rank rank, int64_t microseconds,
               const RankFlags &demand);
  void clamp(config::Rank rank, int64_t callTime);

  std::array<int64_t, config::RankCount> FloorPercent{};
  std::array<int64_t, config::RankCount> Credit{}; ///< Slot time, microseconds.
};

} // namespace radishcross::admission
