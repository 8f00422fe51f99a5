#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibHttp/Connection.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace radishcross::http {

/// Limits of responses to this program's own requests.
constexpr MessageLimits ResponseLimits{64UL << 10, 64UL << 20};

/// Sends one request over a new connection and returns the complete response.
/// Fails with NodeUnreachable (no byte was sent) or OutcomeUnknown.
boost::asio::awaitable<std::optional<Response>> fetch(base::Address server,
                                                      Request request,
                                                      base::Duration timeout,
                                                      base::LastReason &reason);

/// Does the same over \p connection, which is not connected yet; closing it
/// ends the request.
boost::asio::awaitable<std::optional<Response>>
fetchOver(ConnectionPointer connection, base::Address server, Request request,
          base::Duration timeout, base::LastReason &reason,
          MessageLimits limits = ResponseLimits);

/// Blocking variant for command-line programs; runs its own io_context.
std::optional<Response> fetchBlocking(const base::Address &server,
                                      Request request, base::Duration timeout,
                                      base::LastReason &reason);

} // namespace radishcross::http
