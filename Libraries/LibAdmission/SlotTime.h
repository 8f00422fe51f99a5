#pragma once

#include <LibBase/Clock.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace radishcross::admission {

/// How long calls of one kind hold a slot: the mean of the first Memory calls,
/// then a moving mean.
class SlotTime {
public:
  /// Number of calls that the moving mean averages.
  static constexpr int64_t Memory = 8;

  /// Records the time that an answered call held its slot.
  void observed(base::Duration taken) {
    Seen = std::min(Seen + 1, Memory);
    Mean += (taken - Mean) / Seen;
  }

  /// Returns the mean; nothing before the first call has ended.
  std::optional<base::Duration> expected() const {
    return Seen > 0 ? std::optional(Mean) : std::nullopt;
  }

private:
  base::Duration Mean{};
  int64_t Seen = 0;
};

} // namespace radishcross::admission
