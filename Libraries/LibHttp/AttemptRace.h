#pragma once

#include <LibCalls/CallBroker.h>
#include <LibHttp/Server.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace radishcross::http {

/// Coordinates two concurrent sequences ("lanes") of attempts for one call, of
/// which the second is the hedge. The first lane that finishes the call cancels
/// the other.
class AttemptRace {
public:
  enum class Lane : uint8_t { First, Second };

  /// Starts with the first lane running. If \p caller disconnects, both lanes
  /// are cancelled.
  AttemptRace(boost::asio::io_context &context,
              std::shared_ptr<ClientWatch> caller);
  ~AttemptRace();
  AttemptRace(const AttemptRace &) = delete;
  AttemptRace &operator=(const AttemptRace &) = delete;

  /// Returns the watch that signals a lane's attempts that their responses are
  /// no longer needed.
  const std::shared_ptr<ClientWatch> &watch(Lane lane) const;

  void markStarted(Lane lane);

  /// Records the step at which a lane ended. A step of kind Await leaves the
  /// call to the other lane.
  void markEnded(Lane lane, const calls::CallStep &step);

  bool isDecided() const { return Final.has_value(); }

  /// Waits until neither lane is running and returns the call's final step; if
  /// no lane finished the call, its outcome is unknown.
  boost::asio::awaitable<calls::CallStep> finalStep();

private:
  struct LaneState {
    std::shared_ptr<ClientWatch> Watch = std::make_shared<ClientWatch>();
    bool IsRunning = false;
  };
  LaneState &at(Lane lane) { return Lanes[static_cast<size_t>(lane)]; }

  std::shared_ptr<ClientWatch> Caller;
  std::array<LaneState, 2> Lanes;
  std::optional<calls::CallStep> Final;
  boost::asio::steady_timer StateChanged;
};

} // namespace radishcross::http
