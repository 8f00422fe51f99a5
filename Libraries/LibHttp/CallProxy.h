#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/Metrics.h>
#include <LibCalls/AdmissionGate.h>
#include <LibCalls/CallBroker.h>
#include <LibCalls/CallHeaders.h>
#include <LibConfig/Snapshot.h>
#include <LibFleet/Member.h>
#include <LibHttp/Server.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishcross::http {

/// What the proxy needs of its node.
struct CallProxyEnvironment {
  boost::asio::io_context *Context = nullptr;
  const base::Clock *Time = nullptr;
  base::Metrics *Counters = nullptr;
  calls::CallBroker *Broker = nullptr;
  calls::AdmissionGate *Gate = nullptr;
  /// Returns the snapshot in force; null before recovery: callers are told
  /// NotRecovered.
  std::function<config::SnapshotPointer()> CurrentSnapshot;
  /// Returns the address of a target behind this node, or nothing.
  std::function<std::optional<fleet::TargetRecord>(const std::string &)>
      LocalTarget;
  std::vector<std::string> MeshKeys; ///< The first signs, all verify.
  bool TrustsNetwork = false;        ///< Without keys calls need no proof.
  calls::CallHeaders Headers;
  std::string LocalService; ///< Told to targets as the caller; empty: none.
  std::string NodeId;
  std::string DataCentre;
};

/// The HTTP shell of the data path: callers' listener, mesh listener, and the
/// pooled connections to other nodes and to local targets. It carries out the
/// steps of the broker and the gate and decides nothing itself.
///
/// Destroy it before what its environment points at, and before the loop; calls
/// that are then in flight end without touching any of it.
class CallProxy {
public:
  static std::optional<std::shared_ptr<CallProxy>>
  create(CallProxyEnvironment environment, const base::Address &callsListen,
         const base::Address &meshListen, base::LastReason &reason);
  virtual ~CallProxy() = default;

  virtual base::Address callsAddress() const = 0;
  virtual base::Address meshAddress() const = 0;

  /// Replaces the names of header fields and of the service on this VM.
  virtual void setNames(const calls::CallHeaders &headers,
                        const std::string &localService) = 0;

  /// Stops accepting calls of callers; calls in flight finish. What could last
  /// beyond \p timeLimit from now is refused.
  virtual void drain(base::Duration timeLimit) = 0;

  /// Returns the calls in flight in either role.
  virtual size_t inFlight() const = 0;

  /// Runs the periodic work: queue deadlines, idle and silent connections.
  virtual void tick() = 0;
};

} // namespace radishcross::http
