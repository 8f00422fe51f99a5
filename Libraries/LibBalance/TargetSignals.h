#pragma once

#include <LibBalance/TargetLoad.h>

#include <cstdint>
#include <optional>

namespace radishcross::balance {

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
  std::optional<TargetLoad> Load{};
  /// The answer has a load that cannot be parsed; it is ignored.
  bool IsLoadMalformed = false;
};

/// Encodes all but the limit's value and the load as flags of a trace entry.
int64_t flagsOf(const TargetSignals &signals);

/// Decodes the output of flagsOf(); \p rate is used if there is a limit.
TargetSignals signalsOf(int64_t flags, MilliRate rate);

} // namespace radishcross::balance
