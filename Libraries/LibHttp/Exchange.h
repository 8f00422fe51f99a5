#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/CallBroker.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace radishcross::http {

/// What one attempt needs besides the request.
struct ExchangePlan {
  base::Address Server;
  base::Duration Timeout{}; ///< For connecting and the whole answer.
  /// Open a new connection and close the idle ones to the server.
  bool FreshConnection = false;
  std::string Lines; ///< Further fields of the request's head.
  /// The field whose value an answer repeats from its request; empty: none.
  std::string IdField;
  /// Another node: its own refusals are taken also without an id.
  bool ServerIsNode = false;
  MessageLimits ResponseLimits{32UL << 10, 8UL << 20};
};

/// How one attempt ended; Answer is whole where End is Answered.
struct ExchangeResult {
  calls::AttemptEnd End = calls::AttemptEnd::NotSent;
  base::Duration Latency{};
  Response HttpResponse;
};

/// Sends \p request over a pooled or a new connection and reads the whole
/// answer. NotSent is only said while no byte has gone out; a connection whose
/// answer was abandoned is closed. An answer that carries another request's id
/// is skipped, and the connection is not used again. \p watch may end the
/// attempt early.
boost::asio::awaitable<ExchangeResult>
exchange(ConnectionPool &pool, ExchangePlan plan, const Request &request,
         std::shared_ptr<ClientWatch> watch);

} // namespace radishcross::http
