#pragma once

#include <LibBase/Clock.h>

#include <cstddef>
#include <optional>

namespace radishcross::node {

/// Decides when a node that was told to stop leaves the mesh: once its
/// listeners are closed and no call is in flight, and in any case some time
/// before the platform would kill the process.
class DrainPlan {
public:
  enum class Step : uint8_t {
    Continue,        ///< Not draining, or calls are in flight.
    LeaveIdle,       ///< Leave; no call is in flight.
    LeaveAtDeadline, ///< Leave; calls are still in flight.
    AlreadyLeft,     ///< A leave step was returned before.
  };

  /// Starts to drain; \p gracePeriod is the time until the platform would kill
  /// the process. Returns false if the drain had already been started.
  bool start(base::Duration gracePeriod, base::TimePoint now);

  /// Returns whether the node is draining or has left.
  bool isStarted() const { return StartedAt.has_value(); }

  /// Returns the longest time after the start for which calls may stay in
  /// flight.
  base::Duration maxDrainTime() const;

  /// Returns the next step. LeaveIdle or LeaveAtDeadline is returned at most
  /// once; after that the result is AlreadyLeft.
  Step poll(size_t inFlight, base::TimePoint now);

private:
  std::optional<base::TimePoint> StartedAt;
  base::TimePoint LastBusyAt{};
  base::Duration GracePeriod{};
  bool HasLeft = false;
};

} // namespace radishcross::node
