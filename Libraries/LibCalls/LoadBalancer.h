#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibCalls/FeatureToggles.h>
#include <LibCalls/KnownTarget.h>
#include <LibCalls/SpilloverShare.h>
#include <LibCalls/TargetTable.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace radishcross::calls {

/// Where the choosing node is.
struct Locality {
  std::string DataCentre;
  std::string Region;
};

/// Chooses one of a service's usable targets: the own data centre first, then
/// by headroom those of the region, then all others; ejected targets are left
/// out while at least half remain, those that refuse what they are sent while
/// one remains; of two random ones the less loaded.
class LoadBalancer {
public:
  /// A target that became ready takes its full share after this time.
  static constexpr base::Duration SlowStart = std::chrono::seconds(10);

  explicit LoadBalancer(Locality here, const FeatureToggles &toggles = {})
      : Self(std::move(here)), Toggles(toggles) {}

  /// The targets that an attempt may not go to; none for a first attempt.
  using Excluded = std::span<const uint64_t>;

  /// Returns null when no target is left; for a further attempt, where \p
  /// excluded are the targets of those before it, when none is left besides
  /// these and those that refuse.
  KnownTarget *choose(const TargetTable::Targets &targets, Excluded excluded,
                      SpilloverShare &spillover, base::TimePoint now,
                      base::Random &random) const;

  /// Returns the target's score; the lower one is preferred.
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

} // namespace radishcross::calls
