#pragma once

#include <LibBase/Clock.h>

#include <cstddef>
#include <optional>

namespace radishcross::node {

/// Decides when a node that was told to stop leaves: once nothing is in flight
/// and its listeners are closed, and in any case some time before the platform
/// would end the process.
class DrainPlan {
public:
  enum class Step : uint8_t {
    Continue,        ///< Not draining, or calls are in flight.
    LeaveIdle,       ///< Leave: nothing is left to be cut.
    LeaveAtDeadline, ///< Leave although calls are in flight.
    AlreadyLeft,     ///< The node has been told to leave.
  };

  /// Starts to drain; \p gracePeriod is the time until the process would be
  /// ended. Returns false where that had been done.
  bool start(base::Duration gracePeriod, base::TimePoint now);

  /// Tells whether the node drains or has left.
  bool isStarted() const { return StartedAt.has_value(); }

  /// Returns how long after the start calls may be in flight at most.
  base::Duration maxDrainTime() const;

  /// Returns what is due; Quiet or Late once at most.
  Step poll(size_t inFlight, base::TimePoint now);

private:
  std::optional<base::TimePoint> StartedAt;
  base::TimePoint LastBusyAt{};
  base::Duration GracePeriod{};
  bool HasLeft = false;
};

} // namespace radishcross::node
