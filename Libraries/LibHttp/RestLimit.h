#pragma once

#include <LibBase/Clock.h>

#include <algorithm>
#include <optional>

namespace radishcross::http {

/// Learns how long a kept connection to one server may rest before it is used
/// again. A server that has forgotten a connection resets it when the next
/// request arrives; a request that must not run twice is lost with it.
class RestLimit {
public:
  /// After a shorter rest a reset has another cause, such as a crash.
  static constexpr base::Duration MinimumRest = std::chrono::milliseconds(100);
  /// A server that has begun to run the request fails later than this.
  static constexpr base::Duration MaximumSilence =
      std::chrono::milliseconds(50);
  /// What was learnt is tried again after this time.
  static constexpr base::Duration Lifetime = std::chrono::minutes(5);
  /// The part of the rest after which a connection was lost that is allowed.
  static constexpr int RestDivisor = 2;

  /// Records that a connection was lost without a byte of an answer, \p silence
  /// after a request was sent on it, and had rested for \p rest before. Returns
  /// whether the limit has become shorter.
  bool lost(base::Duration rest, base::Duration silence, base::TimePoint now) {
    if (rest < MinimumRest || silence > MaximumSilence)
      return false;
    const auto before = current(now);
    const auto limit = rest / RestDivisor;
    LearntAt = now;
    Learnt = before ? std::min(*before, limit) : limit;
    return !before || *Learnt < *before;
  }

  /// Returns the longest rest allowed, or nothing if none is known.
  std::optional<base::Duration> current(base::TimePoint now) const {
    return Learnt && now - LearntAt < Lifetime ? Learnt : std::nullopt;
  }

private:
  std::optional<base::Duration> Learnt;
  base::TimePoint LearntAt{};
};

} // namespace radishcross::http
