#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>

namespace radishcross::calls {

/// The share of a service's calls that leaves the caller's data centre. It
/// follows the load of the data centre's own targets, at once when they are
/// gone, otherwise at a bounded rate, so that calls come back without a jump.
class SpilloverShare {
public:
  /// Mean load of the own targets from which calls spill to others.
  static constexpr uint32_t SpilloverPermille = 800;
  /// Change of the share in a second, in permille.
  static constexpr int64_t PermillePerSecond = 100;

  /// Takes the mean load of the own targets, or nothing when none is usable.
  /// Returns the share that leaves, in permille.
  uint32_t update(std::optional<uint32_t> localLoad, base::TimePoint now);

private:
  int64_t Share = 0;
  base::TimePoint ChangedAt{};
};

} // namespace radishcross::calls
