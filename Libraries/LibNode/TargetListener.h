#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibCalls/TargetLeases.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace radishcross::node {

/// The target beside a node; what is empty is not checked.
struct LocalTarget {
  std::string Service; ///< "configuration/name".
  std::optional<base::Address> Where;
};

/// Tells whether a heartbeat comes from the target beside the node; fails with
/// BadValue where another writer must have sent it.
bool isFromLocalTarget(const calls::Heartbeat &heartbeat,
                       const LocalTarget &local, base::LastReason &reason);

/// Takes the announcements of the targets on this VM:
/// POST /v1/targets {"service", "target", "address", "state", "slots",
/// "connections", "load_permille", "epoch"} -> {"epoch", "lease_ms"}, or
/// POST /v1/targets/ID/heartbeat (see decodeHeartbeat) and
/// POST /v1/targets/ID/leave -> {}.
class TargetListener {
public:
  TargetListener(calls::TargetLeases &leases, const base::Clock &clock,
                 LocalTarget local, std::function<void()> onChanged);

  void setLocalTarget(LocalTarget local) { Local = std::move(local); }

  /// Answers one request; used as the handler of an http::Server.
  boost::asio::awaitable<http::Response> handle(http::IncomingRequest request);

private:
  http::Response announce(std::string_view body);
  http::Response heartbeat(std::string_view id, std::string_view body);
  http::Response leave(std::string_view id);

  calls::TargetLeases *Leases;
  const base::Clock *Time;
  LocalTarget Local;
  std::function<void()> OnChanged;
};

} // namespace radishcross::node
