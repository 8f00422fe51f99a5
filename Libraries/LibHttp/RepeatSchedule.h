#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace radishcross::http {

/// When a request that is not answered is sent again. Delays count from the
/// time at which the server should have answered.
struct RepeatPolicy {
  base::Duration FirstDelay = std::chrono::milliseconds(600);
  base::Duration Spacing = std::chrono::seconds(1); ///< Between two repeats.
  base::Duration Timeout =
      std::chrono::seconds(3); ///< Until the request fails.
  /// A response that arrives at this rate or faster delays the next repeat,
  /// unless nothing has arrived for FirstDelay.
  uint64_t LeastBytesPerSecond = 290'000;

  /// Returns the policy by which what a request returns is known within
  /// \p bound, even if one connection or a short outage of the server has lost
  /// its response. \p linkBytesPerSecond is the bandwidth of the slowest link.
  static RepeatPolicy withinBound(base::Duration bound,
                                  uint64_t linkBytesPerSecond);
};

/// What has arrived of a response.
struct ResponseProgress {
  size_t Bytes = 0;
  base::TimePoint LastAt{}; ///< When bytes arrived last.
};

/// Decides when one request is sent again over a new connection: a connection
/// that has lost a response never delivers it, and a server that has been away
/// may have forgotten the request. Times are of the steady clock.
class RepeatSchedule {
public:
  /// \p answerDue is the time at which the server should have answered.
  RepeatSchedule(RepeatPolicy policy, base::TimePoint answerDue)
      : Policy(policy), NextRepeat(answerDue + policy.FirstDelay),
        FailsAt(answerDue + policy.Timeout) {}

  /// Returns the time of the next repeat, given what has arrived so far;
  /// nothing if the request fails before it.
  std::optional<base::TimePoint>
  nextRepeat(const ResponseProgress &progress) const;

  /// Handles a repeat sent at \p now.
  void repeated(base::TimePoint now) { NextRepeat = now + Policy.Spacing; }

  /// Returns the time at which the request fails.
  base::TimePoint failsAt() const { return FailsAt; }

private:
  RepeatPolicy Policy;
  base::TimePoint NextRepeat;
  base::TimePoint FailsAt;
};

} // namespace radishcross::http
