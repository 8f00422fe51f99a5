#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>
#include <LibConfig/Resources.h>

#include <array>
#include <cstdint>
#include <optional>

namespace radishcross::calls {

/// For each rank, whether calls of it wait.
using RankFlags = std::array<bool, config::RankCount>;

/// Decides which rank gets a free slot of one target: strict order, except
/// that a lower rank which is owed a part of its floor goes first. Floors are
/// shares of slot time, accounted in credits: a rank in demand earns its share
/// of all slot time spent and pays for its own, so a floor of 5% holds at a
/// target with 6 slots, where it is less than one slot.
class RankScheduler {
public:
  void setLimits(const config::ServiceLimits &limits);

  /// Returns the rank to serve next, or nothing when none waits.
  std::optional<config::Rank> next(const RankFlags &waiting) const;

  /// Tells whether a rank is owed slot time.
  bool hasCredit(config::Rank rank) const;

  /// Charges the start of a call with its expected slot time. \p demand tells
  /// the ranks that were called lately.
  void started(config::Rank rank, base::Duration expected,
               const RankFlags &demand);

  /// Replaces the charged slot time of a call by the time it took.
  void ended(config::Rank rank, base::Duration charged, base::Duration taken,
             const RankFlags &demand);

private:
  void account(config::Rank rank, int64_t microseconds,
               const RankFlags &demand);
  void clamp(config::Rank rank, int64_t callTime);

  std::array<int64_t, config::RankCount> FloorPercent{};
  std::array<int64_t, config::RankCount> Credit{}; ///< Slot time, microseconds.
};

} // namespace radishcross::calls
