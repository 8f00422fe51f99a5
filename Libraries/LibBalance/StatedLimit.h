#pragma once

#include <LibBalance/TargetSignals.h>
#include <LibBase/Clock.h>

#include <optional>

namespace radishcross::balance {

/// The rate limit that one target process states on its answers. Answers can
/// arrive in another order than the target wrote them; an answer raises or ends
/// the limit only if its request was sent after the last answer that confirmed
/// the limit had arrived.
class StatedLimit {
public:
  /// Applies an answer to a request sent at \p sentAt. Returns whether the
  /// limit has changed.
  bool answered(const TargetSignals &signals, base::TimePoint sentAt,
                base::TimePoint now);

  /// Applies a limit reported by another node, which counts until the first
  /// answer; the lowest report wins. Returns whether the limit has changed.
  bool reported(MilliRate rate);

  /// Returns the limit in force, or nothing.
  std::optional<MilliRate> rate() const { return Rate; }

private:
  std::optional<MilliRate> Rate;
  base::TimePoint ConfirmedAt{};
  bool HasAnswer = false;
};

} // namespace radishcross::balance
