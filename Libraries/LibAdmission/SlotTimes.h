#pragma once

#include <LibAdmission/SlotTime.h>
#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <array>
#include <map>
#include <optional>
#include <utility>

namespace radishcross::admission {

/// How long calls hold a slot of one target, by kind of call: rank and, where
/// one is stated, latency objective.
class SlotTimes {
public:
  /// Maximum number of kinds with an objective that have a time of their own.
  static constexpr size_t MaximumKinds = 64;

  /// Records the time that an answered call held its slot.
  void observed(config::Rank rank, base::Duration objective,
                base::Duration taken);

  /// Returns the mean time of such calls; 0: none has ended yet.
  base::Duration learnt(config::Rank rank, base::Duration objective) const;

  /// Returns the same, and an assumption before the first call has ended.
  base::Duration expected(config::Rank rank, base::Duration objective) const;

  /// Returns the expected time of the rank whose calls take longest.
  base::Duration longest() const;

private:
  using Kind = std::pair<config::Rank, base::Duration>;
  std::optional<base::Duration> seen(config::Rank rank,
                                     base::Duration objective) const;

  std::array<SlotTime, config::RankCount> ByRank;
  std::map<Kind, SlotTime> ByKind; ///< Where an objective is stated.
};

} // namespace radishcross::admission
