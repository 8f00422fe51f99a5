#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/TargetLeases.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string_view>

namespace radishcross::node {

/// Takes the announcements of the targets on this VM:
/// POST /v1/targets {"service", "target", "address", "state", "slots",
/// "connections", "load_permille", "epoch"} -> {"epoch", "lease_ms"}, or
/// POST /v1/targets/ID/heartbeat (see decodeHeartbeat) and
/// POST /v1/targets/ID/leave -> {}.
class TargetListener {
public:
  TargetListener(calls::TargetLeases &leases, const base::Clock &clock,
                 std::function<void()> changed);

  /// Answers one request; used as the handler of an http::Server.
  boost::asio::awaitable<http::Response> handle(http::IncomingRequest request);

private:
  http::Response announce(std::string_view body);
  http::Response heartbeat(std::string_view id, std::string_view body);
  http::Response leave(std::string_view id);

  calls::TargetLeases *Leases;
  const base::Clock *Time;
  std::function<void()> Changed;
};

} // namespace radishcross::node
