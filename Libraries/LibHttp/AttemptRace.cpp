#include <LibHttp/AttemptRace.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace radishcross::http {

namespace asio = boost::asio;
using calls::CallStep;

AttemptRace::AttemptRace(asio::io_context &context,
                         std::shared_ptr<ClientWatch> caller)
    : Caller(std::move(caller)),
      StateChanged(context, asio::steady_timer::time_point::max()) {
  Caller->OnGone = [first = watch(Lane::First), second = watch(Lane::Second)] {
    first->clientDisconnected();
    second->clientDisconnected();
  };
  markStarted(Lane::First);
}

AttemptRace::~AttemptRace() { Caller->OnGone = nullptr; }

const std::shared_ptr<ClientWatch> &AttemptRace::watch(Lane lane) const {
  return Lanes[static_cast<size_t>(lane)].Watch;
}

void AttemptRace::markStarted(Lane lane) { at(lane).IsRunning = true; }

void AttemptRace::markEnded(Lane lane, const CallStep &step) {
  at(lane).IsRunning = false;
  if (!Final && step.What == CallStep::Kind::Finish) {
    Final = step;
    at(lane == Lane::First ? Lane::Second : Lane::First)
        .Watch->clientDisconnected();
  }
  StateChanged.cancel();
}

asio::awaitable<CallStep> AttemptRace::finalStep() {
  while (std::any_of(Lanes.begin(), Lanes.end(),
                     [](const LaneState &it) { return it.IsRunning; })) {
    boost::system::error_code ec;
    co_await StateChanged.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  }
  CallStep unknown;
  unknown.Outcome = calls::CallOutcome::Unknown;
  unknown.Code = base::ResultCode::Internal;
  co_return Final.value_or(unknown);
}

} // namespace radishcross::http
