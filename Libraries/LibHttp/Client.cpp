#include <LibHttp/Client.h>

#include <LibHttp/Connection.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <exception>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;

/// Bounds of an answer to this program's own requests.
constexpr MessageLimits AnswerLimits{64UL << 10, 64UL << 20};

std::string describeEnd(ReadEnd end, const base::LastReason &reason) {
  if (end == ReadEnd::Refused)
    return reason.text();
  return end == ReadEnd::TimedOut ? "no whole answer came in time"
                                  : "the connection ended before the answer";
}

} // namespace

asio::awaitable<std::optional<Response>> fetch(base::Address server,
                                               Request request,
                                               base::Duration timeout,
                                               base::LastReason &reason) {
  auto executor = co_await asio::this_coro::executor;
  auto link = std::make_shared<Connection>(asio::ip::tcp::socket(executor));
  auto started = std::chrono::steady_clock::now();
  link->expireAfter(std::min(timeout, ConnectTimeout));
  if (!co_await link->connect(server))
    co_return reason.fail(base::ResultCode::NodeUnreachable,
                          server.text() + " cannot be reached");
  link->expireAfter(timeout - std::chrono::duration_cast<base::Duration>(
                                  std::chrono::steady_clock::now() - started));
  request.version(11);
  if (request.count(boost::beast::http::field::host) == 0)
    request.set(boost::beast::http::field::host, server.text());
  request.keep_alive(false);
  request.prepare_payload();
  bool written = co_await link->write(request);
  if (!written && link->bytesTaken() == 0)
    co_return reason.fail(base::ResultCode::NodeUnreachable,
                          server.text() + " closed the connection");
  Response response;
  base::LastReason fault;
  ReadEnd end = co_await link->readResponse(response, request.method(),
                                            AnswerLimits, fault);
  link->close();
  if (end != ReadEnd::Complete)
    co_return reason.fail(base::ResultCode::OutcomeUnknown,
                          server.text() + ": " + describeEnd(end, fault));
  co_return response;
}

std::optional<Response> fetchBlocking(const base::Address &server,
                                      Request request, base::Duration timeout,
                                      base::LastReason &reason) {
  asio::io_context context(1);
  std::optional<Response> answer;
  asio::co_spawn(
      context, fetch(server, std::move(request), timeout, reason),
      [&](const std::exception_ptr &error, std::optional<Response> response) {
        answer = std::move(response);
        if (error)
          reason.fail(base::ResultCode::Internal, "the request failed");
      });
  context.run();
  return answer;
}

} // namespace radishcross::http
