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

  /// A pace counts for this time after the target has stated it. It changes
  /// several times a second.
  static constexpr base::Duration PaceLifetime = std::chrono::milliseconds(250);

  /// Records the pace that the target states.
  void paceStated(uint32_t percent, base::TimePoint now);

  /// Returns the pace stated lately.
  std::optional<uint32_t> pace(base::TimePoint now) const;

  /// Records the time that an answered call held its slot, which started at \p
  /// pacePercent.
  void observed(config::Rank rank, base::Duration objective,
                base::Duration taken, std::optional<uint32_t> pacePercent);

  /// Returns the mean time of such calls; 0: none has ended yet.
  base::Duration learnt(config::Rank rank, base::Duration objective) const;

  /// Returns the time expected of such a call that starts now; an assumption
  /// before the first call has ended.
  base::Duration expected(config::Rank rank, base::Duration objective,
                          base::TimePoint now) const;

  /// Returns the expected time of the rank whose calls take longest.
  base::Duration longest() const;

private:
  using Kind = std::pair<config::Rank, base::Duration>;
  const SlotTime *find(config::Rank rank, base::Duration objective) const;

  std::array<SlotTime, config::RankCount> ByRank;
  std::map<Kind, SlotTime> ByKind; ///< Where an objective is stated.
  uint32_t PacePercent = 0;        ///< 0: none was stated.
  base::TimePoint PaceAt{};
};

} // namespace radishcross::admission
