#pragma once

#include <LibHttp/CallMetrics.h>
#include <LibHttp/CallProxy.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/MeshCall.h>

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace radishcross::http {

/// How a call ended at the target's node.
struct GateOutcome {
  calls::AttemptResult Result;
  Response HttpResponse; ///< The target's answer where Result.End is Answered.
  // For the log and the metrics:
  calls::GateView Found; ///< How full the gate was when the call arrived.
  bool HasWaited = false;
  bool HasRun = false;
  base::Duration Waited{}; ///< At the gate.
  base::Duration Ran{};    ///< From the gate to the end of the exchange.
};

/// The target's node: carries out the gate's decisions for calls of other nodes
/// and of this one.
class GateRunner {
public:
  GateRunner(CallProxyEnvironment &environment, ConnectionPool &pool,
             const MeshKeys &keys, CallMetrics &callMetrics);

  /// Runs one call at a target behind this node.
  boost::asio::awaitable<GateOutcome> run(MeshCall call, Request &request,
                                          uint64_t fingerprint,
                                          std::shared_ptr<ClientWatch> watch);

  /// From now on refuses what may not have ended at \p time.
  void setShutdownTime(base::TimePoint time) { ShutdownTime = time; }

  /// Tells whether a call with this deadline left ends before the node leaves.
  bool canFinish(base::Duration remaining) const;

  /// Refuses queued calls whose deadline has passed.
  void tick();

  /// Returns the deadline left of a call that runs here now, or nothing.
  std::optional<base::Duration> remainingOf(const std::string &callId) const;

  /// Notes that a call made while running \p callId failed and was dealt with.
  void noteFailureBelow(const std::string &callId);

private:
  /// A call that has arrived at the gate and has not ended.
  struct ActiveCall {
    base::TimePoint Deadline{};
    bool FailedBelow = false;
  };
  struct QueuedCall {
    boost::asio::steady_timer Wake;
    std::optional<calls::GateAnswer> Decision;
  };

  boost::asio::awaitable<GateOutcome>
  passGate(const MeshCall &call, Request &request, uint64_t fingerprint,
           std::shared_ptr<ClientWatch> watch);
  boost::asio::awaitable<calls::GateAnswer>
  awaitTurn(calls::Ticket ticket, base::Duration remaining,
            std::shared_ptr<ClientWatch> watch);
  boost::asio::awaitable<GateOutcome>
  runAtTarget(const MeshCall &call, const fleet::TargetRecord &target,
              Request &request, base::TimePoint deadline,
              std::shared_ptr<ClientWatch> watch);
  std::string targetLines(const Request &request, const MeshCall &call) const;
  void dispatch(const std::vector<calls::GateAnswer> &decisions);

  CallProxyEnvironment &Environment;
  ConnectionPool &Pool;
  const MeshKeys &Keys;
  CallMetrics &Metrics;
  std::unordered_map<calls::Ticket, QueuedCall *> Queue;
  std::unordered_map<std::string, ActiveCall> ActiveCalls;
  std::optional<base::TimePoint> ShutdownTime; ///< Set once the node drains.
};

} // namespace radishcross::http
