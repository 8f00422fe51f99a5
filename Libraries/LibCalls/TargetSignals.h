#pragma once

#include <cstdint>
#include <optional>

namespace radishcross::calls {

/// A rate in requests per 1,000 seconds.
using MilliRate = int64_t;

/// What a target states about itself on one of its answers.
struct TargetSignals {
  /// Requests that it accepts from all callers together.
  std::optional<MilliRate> RateLimit;
  /// The answer has a limit that cannot be parsed; it neither sets nor ends
  /// one.
  bool IsLimitMalformed = false;
  /// The target is leaving and accepts no new calls.
  bool IsLeaving = false;
};

} // namespace radishcross::calls
