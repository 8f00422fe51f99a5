#pragma once

#include <LibBalance/FeatureToggles.h>
#include <LibBalance/KnownTarget.h>
#include <LibBalance/SpilloverShare.h>
#include <LibBalance/TargetTable.h>
#include <LibBase/Clock.h>
#include <LibBase/Random.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace radishcross::balance {

/// Location of the choosing node.
struct Locality {
  std::string DataCentre;
  std::string Region;
};

/// Chooses one of a service's usable targets: those of the local data centre
/// first, then by headroom those of the region, then all others. Ejected
/// targets are excluded while at least half of the targets remain, avoided ones
/// (see RefusalBackoff) while one remains. Of two random targets the less
/// loaded is chosen (power of two choices).
class LoadBalancer {
public:
  /// A target that became ready gets its full share after this time, unless it
  /// says itself how long it remains slow.
  static constexpr base::Duration SlowStart = std::chrono::seconds(10);

  explicit LoadBalancer(Locality here, const FeatureToggles &toggles = {})
      : Self(std::move(here)), Toggles(toggles) {}

  const Locality &here() const { return Self; }

  /// Ids of the targets that an attempt must not use; empty for a first
  /// attempt.
  using Excluded = std::span<const uint64_t>;

  /// Returns null if no target is left. For a further attempt \p excluded holds
  /// the targets of the earlier attempts; then null is returned if all others
  /// are in backoff.
  KnownTarget *choose(const TargetTable::Targets &targets, Excluded excluded,
                      SpilloverShare &spillover, base::TimePoint now,
                      base::Random &random) const;

  /// Returns whether a further attempt after one at \p target may go to another
  /// one, as far as is known now.
  static bool hasOther(const TargetTable::Targets &targets, uint64_t target,
                       base::TimePoint now);

  /// Returns the target's score; lower is better.
  static uint64_t score(const KnownTarget &target, base::TimePoint now);

private:
  using Targets = TargetTable::Targets;
  static Targets withoutEjected(const Targets &targets);
  static bool mayRetryAt(const KnownTarget &target, Excluded excluded,
                         base::TimePoint now);
  static bool allAvoided(const Targets &targets, base::TimePoint now);
  static Targets withoutAvoided(Targets targets, base::TimePoint now);
  struct Tiers {
    Targets Local;
    Targets Remote;
  };
  Tiers splitByLocality(const Targets &targets) const;
  static const Targets &chooseTier(const Tiers &tiers,
                                   SpilloverShare &spillover,
                                   base::TimePoint now, base::Random &random);

  Locality Self;
  FeatureToggles Toggles;
};

} // namespace radishcross::balance
