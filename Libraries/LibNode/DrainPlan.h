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
    Serve, ///< Not draining, or calls are in flight.
    Quiet, ///< Leave: nothing is left to be cut.
    Late,  ///< Leave although calls are in flight.
    Left,  ///< The node has been told to leave.
  };

  /// Starts to drain; \p grace is the time until the process would be ended.
  /// Returns false where that had been done.
  bool start(base::Duration grace, base::TimePoint now);

  /// Tells whether the node drains or has left.
  bool isStarted() const { return StartedAt.has_value(); }

  /// Returns how long after the start calls may be in flight at most.
  base::Duration longest() const;

  /// Returns what is due; Quiet or Late once at most.
  Step look(size_t inFlight, base::TimePoint now);

private:
  std::optional<base::TimePoint> StartedAt;
  base::TimePoint LastBusyAt{};
  base::Duration Grace{};
  bool HasLeft = false;
};

} // namespace radishcross::node
