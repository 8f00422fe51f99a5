#include <LibHttp/Client.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <exception>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;

std::string describeFailure(ReadStatus end, const base::LastReason &reason) {
  if (end == ReadStatus::Refused)
    return reason.text();
  return end == ReadStatus::TimedOut
             ? "timed out before the response was complete"
             : "the connection closed before the response was complete";
}

} // namespace

asio::awaitable<std::optional<Response>> fetch(base::Address server,
                                               Request request,
                                               base::Duration timeout,
                                               base::LastReason &reason) {
  auto executor = co_await asio::this_coro::executor;
  co_return co_await fetchOver(
      std::make_shared<Connection>(asio::ip::tcp::socket(executor)),
      std::move(server), std::move(request), timeout, reason);
}

asio::awaitable<std::optional<Response>>
fetchOver(ConnectionPointer connection, base::Address server, Request request,
          base::Duration timeout, base::LastReason &reason,
          MessageLimits limits) {
  auto startTime = std::chrono::steady_clock::now();
  connection->expireAfter(std::min(timeout, ConnectTimeout));
  if (!co_await connection->connect(server))
    co_return reason.fail(base::ResultCode::NodeUnreachable,
                          server.text() + " cannot be reached");
  connection->expireAfter(timeout -
                          std::chrono::duration_cast<base::Duration>(
                              std::chrono::steady_clock::now() - startTime));
  request.version(11);
  if (request.count(boost::beast::http::field::host) == 0)
    request.set(boost::beast::http::field::host, server.text());
  request.keep_alive(false);
  request.prepare_payload();
  bool isWritten = co_await connection->write(request);
  if (!isWritten && connection->bytesWritten() == 0)
    co_return reason.fail(base::ResultCode::NodeUnreachable,
                          server.text() + " closed the connection");
  Response response;
  base::LastReason fault;
  ReadStatus end = co_await connection->readResponse(response, request.method(),
                                                     limits, fault);
  connection->close();
  if (end != ReadStatus::Complete)
    co_return reason.fail(base::ResultCode::OutcomeUnknown,
                          server.text() + ": " + describeFailure(end, fault));
  co_return response;
}

std::optional<Response> fetchBlocking(const base::Address &server,
                                      Request request, base::Duration timeout,
                                      base::LastReason &reason) {
  asio::io_context context(1);
  std::optional<Response> result;
  asio::co_spawn(
      context, fetch(server, std::move(request), timeout, reason),
      [&](const std::exception_ptr &error, std::optional<Response> response) {
        result = std::move(response);
        if (error)
          reason.fail(base::ResultCode::Internal, "the request failed");
      });
  context.run();
  return result;
}

} // namespace radishcross::http
