#pragma once

#include <LibHttp/Client.h>
#include <LibHttp/RepeatSchedule.h>

#include <functional>

namespace radishcross::http {

/// A request that may be executed more than once.
struct RepeatableRequest {
  Request First;
  Request Repeat; ///< What is sent again; the server is to answer it at once.
  /// How long the server may hold First before it answers.
  base::Duration Hold{};
};

/// Sends a request, and again over a new connection whenever a response is late
/// by the policy. Returns the first complete response; fails once the newest
/// connection fails. \p onRepeat is called before each repeat.
boost::asio::awaitable<std::optional<Response>>
fetchRepeating(base::Address server, RepeatableRequest request,
               RepeatPolicy policy, std::function<void()> onRepeat,
               base::LastReason &reason);

} // namespace radishcross::http
