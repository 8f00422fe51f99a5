#pragma once

#include <LibAdmission/AdmissionGate.h>
#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/Metrics.h>
#include <LibCalls/CallBroker.h>
#include <LibCalls/CallHeaders.h>
#include <LibConfig/Snapshot.h>
#include <LibFleet/Member.h>
#include <LibHttp/Server.h>
#include <LibTenants/AllotmentPort.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishcross::http {

/// Everything that the proxy uses of its node.
struct CallProxyEnvironment {
  boost::asio::io_context *Context = nullptr;
  const base::Clock *Time = nullptr;
  base::Metrics *Counters = nullptr;
  calls::CallBroker *Broker = nullptr;
  admission::AdmissionGate *Gate = nullptr;
  /// Returns the snapshot in force, or null before recovery, when callers get
  /// NotRecovered.
  std::function<config::SnapshotPointer()> CurrentSnapshot;
  /// Returns the record of a local target, or nothing.
  std::function<std::optional<fleet::TargetRecord>(const std::string &)>
      LocalTarget;
  /// Called when the process \p epoch of a local target states that it is
  /// leaving; returns whether this is news.
  std::function<bool(const std::string &targetId, uint64_t epoch)>
      OnTargetLeaving;
  std::vector<std::string> MeshKeys; ///< The first key signs, all keys verify.
  bool TrustsNetwork = false;        ///< Without keys, calls need no proof.
  calls::CallHeaders Headers;
  std::shared_ptr<LinkPacer> Link; ///< Of this VM; null: nothing is paced.
  std::string
      LocalService; ///< Sent to targets as the caller's service; empty: none.
  std::string NodeId;
  std::string DataCentre;
  std::shared_ptr<MemoryLedger> Memory;     ///< Null: nothing is counted.
  std::shared_ptr<ConnectionBudget> Budget; ///< Null: only by listener.
};

/// HTTP front end of the data path: the callers' listener, the mesh listener,
/// and pooled connections to other nodes and to local targets. It executes the
/// decisions of the broker and the gate and makes none itself.
///
/// Destroy it before the objects that its environment points to, and before the
/// event loop. Calls still in flight then end without accessing any of them.
class CallProxy {
public:
  static std::optional<std::shared_ptr<CallProxy>>
  create(CallProxyEnvironment environment, const base::Address &callsListen,
         const base::Address &meshListen, base::LastReason &reason);
  virtual ~CallProxy() = default;

  virtual base::Address callsAddress() const = 0;
  virtual base::Address meshAddress() const = 0;

  /// Replaces the configurable header names and the name of the service on this
  /// VM.
  virtual void setNames(const calls::CallHeaders &headers,
                        const std::string &localService) = 0;

  /// Sets where tenants' allotments are kept; null: none are.
  virtual void setAllotments(tenants::AllotmentPort *allotments) = 0;

  /// Starts draining: calls in flight finish, and calls that could last longer
  /// than \p timeLimit from now are refused.
  virtual void drain(base::Duration timeLimit) = 0;

  /// Answers the callers whose calls are still in flight, when the time limit
  /// has passed and the process ends.
  virtual void answerUnfinished() = 0;

  /// Returns the number of requests in flight on both listeners.
  virtual size_t inFlight() const = 0;

  /// Runs periodic work: queue deadlines, hedges, idle connections, limits of
  /// the configuration, and the phases of a drain.
  virtual void tick() = 0;
};

} // namespace radishcross::http
