#pragma once

#include <LibAdmin/NodeSettings.h>
#include <LibAdmission/TargetLeases.h>
#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace radishcross::node {

/// The target on the node's VM, as far as the settings name it. Empty fields
/// are not checked.
struct LocalTarget {
  std::string Service; ///< "configuration/name".
  std::optional<base::Address> Where;
};

LocalTarget localTargetOf(const admin::NodeSettings &settings);

/// Returns whether a heartbeat comes from the target on the node's VM; fails
/// with BadValue if the service or address differs, since then another process
/// must have sent it.
bool isFromLocalTarget(const admission::Heartbeat &heartbeat,
                       const LocalTarget &local, base::LastReason &reason);

/// Handles the requests of the targets on this VM:
/// POST /v1/targets {"service", "target", "address", "state", "slots",
/// "connections", "load_permille", "epoch"} -> {"epoch", "lease_ms"},
/// POST /v1/targets/ID/heartbeat (see decodeHeartbeat) -> {} and
/// POST /v1/targets/ID/leave -> {}.
class TargetListener {
public:
  /// Waits until what the targets have stated outlives this process; returns
  /// false if it cannot in time.
  using AwaitKept = std::function<boost::asio::awaitable<bool>()>;

  /// \p awaitKept is called before a target's leaving is acknowledged. Without
  /// success it is not, though the target gets no new calls all the same.
  TargetListener(admission::TargetLeases &leases, const base::Clock &clock,
                 LocalTarget local, std::function<void()> onChanged,
                 AwaitKept awaitKept = nullptr);

  void setLocalTarget(LocalTarget local) { Local = std::move(local); }

  /// Handles one request; used as the handler of an http::Server.
  boost::asio::awaitable<http::Response> handle(http::IncomingRequest request);

private:
  http::Response announce(std::string_view body);
  http::Response heartbeat(std::string_view id, std::string_view body,
                           bool &isLeaving);
  http::Response leave(std::string_view id);

  admission::TargetLeases *Leases;
  const base::Clock *Time;
  LocalTarget Local;
  std::function<void()> OnChanged;
  AwaitKept Kept;
};

} // namespace radishcross::node
