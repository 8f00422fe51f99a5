#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>

namespace radishcross::balance {

/// The share of a service's calls that spill over to other data centres. It
/// follows the load of the local targets: immediately when none is usable,
/// otherwise at a bounded rate, so that calls return gradually.
class SpilloverShare {
public:
  /// Mean load of the local targets above which calls spill over.
  static constexpr uint32_t SpilloverPermille = 800;
  /// Maximum change of the share, in permille per second.
  static constexpr int64_t PermillePerSecond = 100;

  /// Updates the share with the mean load of the local targets, in permille, or
  /// nothing when none is usable. Returns the share that spills over, in
  /// permille.
  uint32_t update(std::optional<uint32_t> localLoad, base::TimePoint now);

private:
  int64_t Share = 0;
  base::TimePoint ChangedAt{};
};

} // namespace radishcross::balance
