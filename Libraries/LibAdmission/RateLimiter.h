#pragma once

#include <LibBalance/TargetSignals.h>
#include <LibBase/Clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace radishcross::admission {

/// Token bucket that keeps the calls started at one target within the rate
/// limit that the target states. Without a limit a call may always start.
class RateLimiter {
public:
  /// The bucket holds one token and those of this time.
  static constexpr base::Duration BurstTime = std::chrono::milliseconds(250);
  /// A lower limit counts as this one: only the answer to a call can tell that
  /// the limit has ended.
  static constexpr balance::MilliRate MinimumRate = 200;

  /// Sets or removes the limit. The bucket is empty when a limit follows none.
  void setRate(std::optional<balance::MilliRate> rate, base::TimePoint now);

  /// Adds one token.
  void grant(base::TimePoint now);

  bool isLimited() const { return Rate > 0; }

  /// Returns whether a call may start now that has to leave \p reserved tokens
  /// to others. A bucket too small for the reserve keeps none.
  bool isAvailable(uint32_t reserved, base::TimePoint now) const;

  /// Takes the token of a call that starts.
  void take(base::TimePoint now);

  /// Returns the time until a call may start that has \p ahead calls before it.
  base::Duration waitFor(size_t ahead, base::TimePoint now) const;

  /// Returns the share of the bucket that is used up, 0 to 1000.
  uint32_t usedPermille(base::TimePoint now) const;

private:
  /// Tokens are counted in milli-requests per second times microseconds.
  static constexpr int64_t Token = 1'000'000'000;

  int64_t depth() const { return Token + Rate * BurstTime.count(); }
  int64_t levelAt(base::TimePoint now) const;

  balance::MilliRate Rate = 0; ///< 0: no limit.
  int64_t Level = 0;           ///< At UpdatedAt; may be negative.
  base::TimePoint UpdatedAt{};
};

} // namespace radishcross::admission
