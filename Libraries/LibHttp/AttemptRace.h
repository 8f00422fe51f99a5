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

/// Two lanes of attempts of one call, of which the second starts beside the
/// first. The lane that comes to the call's last step ends the other one.
class AttemptRace {
public:
  enum class Lane : uint8_t { First, Second };

  /// The first lane runs from now on. When \p caller goes away, both end.
  AttemptRace(boost::asio::io_context &context,
              std::shared_ptr<ClientWatch> caller);
  ~AttemptRace();
  AttemptRace(const AttemptRace &) = delete;
  AttemptRace &operator=(const AttemptRace &) = delete;

  /// Tells a lane's attempts that nobody awaits their answers any more.
  const std::shared_ptr<ClientWatch> &watch(Lane lane) const;

  void markStarted(Lane lane);

  /// Takes the step at which a lane ends; Await leaves the call to the other.
  void markEnded(Lane lane, const calls::CallStep &step);

  bool isDecided() const { return Final.has_value(); }

  /// Waits until no lane runs any more and returns the call's last step; a call
  /// that came to none is told as unknown.
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
