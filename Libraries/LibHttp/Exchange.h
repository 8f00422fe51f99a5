#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/CallBroker.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace radishcross::http {

/// Parameters of one attempt besides the request.
struct ExchangePlan {
  base::Address Server;
  base::Duration Timeout{}; ///< Covers connecting and the complete response.
  /// Use a new connection and close the idle ones to the server.
  bool FreshConnection = false;
  std::string Lines; ///< Additional header fields of the request.
  /// Name of the request id field that a response echoes; empty: none.
  std::string IdField;
  /// Name of the field by which a server states that it did not run a request;
  /// empty: none.
  std::string NotRunField;
  /// The server is another node; its own refusals are accepted without an id.
  bool ServerIsNode = false;
  MessageLimits ResponseLimits{32UL << 10, 8UL << 20};
};

/// Result of one attempt; HttpResponse is complete if End is Answered, but for
/// its rest if the plan allows one.
struct ExchangeResult {
  calls::AttemptEnd End = calls::AttemptEnd::NotSent;
  base::Duration Latency{};
  Response HttpResponse;
};

/// Sends \p request over a pooled or new connection and reads the response. The
/// result is NotSent only if no byte was sent. A connection whose response was
/// abandoned is closed. A response with another request's id is skipped, and
/// the connection is not reused. A server other than a node may repeat a
/// refusal: a connection is not reused after one without an id, nor for a
/// request that was refused over it. \p watch can cancel the attempt.
boost::asio::awaitable<ExchangeResult>
exchange(ConnectionPool &pool, ExchangePlan plan, const Request &request,
         std::shared_ptr<ClientWatch> watch);

} // namespace radishcross::http
