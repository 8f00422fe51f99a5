#include <LibHttp/RepeatingClient.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;

/// The copies of one request that have been sent.
struct Copies {
  explicit Copies(const asio::any_io_executor &executor) : Ended(executor) {}

  /// Handles the end of a copy. The failure of an older copy is left out, since
  /// a newer one has replaced it.
  void copyEnded(size_t index, std::optional<Response> response,
                 base::LastReason reason) {
    if (HasEnded || (!response && index + 1 != Connections.size()))
      return;
    HasEnded = true;
    Result = std::move(response);
    Failure = std::move(reason);
    Ended.cancel();
  }

  ResponseProgress progress() const {
    ResponseProgress out;
    for (const auto &it : Connections) {
      if (it->bytesReceived() == 0)
        continue;
      out.Bytes = std::max(out.Bytes, it->bytesReceived());
      out.LastAt = std::max(out.LastAt, it->lastReceivedAt());
    }
    return out;
  }

  std::vector<ConnectionPointer> Connections; ///< One for each copy.
  bool HasEnded = false;
  std::optional<Response> Result;
  base::LastReason Failure;
  asio::steady_timer Ended; ///< Cancelled when the request has ended.
};

void sendCopy(const asio::any_io_executor &executor,
              const std::shared_ptr<Copies> &copies, base::Address server,
              Request request, base::Duration timeout) {
  auto connection =
      std::make_shared<Connection>(asio::ip::tcp::socket(executor));
  size_t index = copies->Connections.size();
  copies->Connections.push_back(connection);
  asio::co_spawn(
      executor,
      [copies, index, connection, server = std::move(server),
       request = std::move(request), timeout]() -> asio::awaitable<void> {
        base::LastReason reason;
        auto response =
            co_await fetchOver(connection, server, request, timeout, reason);
        copies->copyEnded(index, std::move(response), std::move(reason));
      },
      asio::detached);
}

} // namespace

asio::awaitable<std::optional<Response>>
fetchRepeating(base::Address server, RepeatableRequest request,
               RepeatPolicy policy, std::function<void()> onRepeat,
               base::LastReason &reason) {
  auto executor = co_await asio::this_coro::executor;
  auto copies = std::make_shared<Copies>(executor);
  base::SystemClock clock;
  RepeatSchedule schedule(policy, clock.now() + request.Hold);
  sendCopy(executor, copies, server, std::move(request.First),
           schedule.failsAt() - clock.now());
  while (!copies->HasEnded) {
    // Without a repeat the newest copy ends the request at its timeout.
    auto due = schedule.nextRepeat(copies->progress());
    copies->Ended.expires_at(due ? asio::steady_timer::time_point(*due)
                                 : asio::steady_timer::time_point::max());
    boost::system::error_code ec;
    co_await copies->Ended.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    due = schedule.nextRepeat(copies->progress());
    auto now = clock.now();
    if (copies->HasEnded || !due || now < *due)
      continue;
    schedule.repeated(now);
    onRepeat();
    sendCopy(executor, copies, server, request.Repeat,
             std::max(schedule.failsAt() - now, base::Duration::zero()));
  }
  for (const auto &it : copies->Connections)
    it->close();
  if (!copies->Result)
    reason = copies->Failure;
  co_return std::move(copies->Result);
}

} // namespace radishcross::http
