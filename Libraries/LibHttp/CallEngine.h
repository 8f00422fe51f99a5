#pragma once

#include <LibBase/Random.h>
#include <LibHttp/AttemptRace.h>
#include <LibHttp/CallLog.h>
#include <LibHttp/CallMetrics.h>
#include <LibHttp/CallProxy.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/GateRunner.h>
#include <LibHttp/HedgeTimers.h>
#include <LibHttp/StoppedNode.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishcross::http {

/// Carries out the steps of the broker and the gate for the requests of both
/// listeners. Outlives the listeners while requests are being handled.
class CallEngine {
public:
  explicit CallEngine(CallProxyEnvironment environment);
  CallEngine(const CallEngine &) = delete;
  CallEngine &operator=(const CallEngine &) = delete;

  /// Lets go of the node, which ends before the calls that are still in flight:
  /// they end without touching it.
  void detach();

  /// Handles a request of a caller, or a deeper call of a local target.
  boost::asio::awaitable<Response> handleCaller(IncomingRequest incoming);

  /// Handles a request of another node.
  boost::asio::awaitable<Response> handleMesh(IncomingRequest incoming);

  /// From now on a call that may not have ended at \p time is refused at the
  /// gate as Draining.
  void setShutdownTime(base::TimePoint time) {
    LocalGate.setShutdownTime(time);
  }

  /// From now on clients' calls are refused as Draining where they may outlast
  /// the node or state no deadline, but for proven calls of targets.
  void refuseLongCalls() { RefusesLongCalls = true; }

  /// See CallProxy::setNames.
  void setNames(const calls::CallHeaders &headers,
                const std::string &localService) {
    Environment.Headers = headers;
    Environment.LocalService = localService;
  }

  void tick();
  base::TimePoint now() const { return Environment.Time->now(); }
  config::SnapshotPointer snapshot() const {
    return Environment.CurrentSnapshot();
  }
  size_t callsAtGate() const { return Environment.Gate->inFlight(); }
  size_t idleConnections() const { return Pool.idleCount(); }

private:
  /// One call of which this node is the caller's node.
  struct OriginatedCall {
    calls::CallRequest Request;
    IncomingRequest Incoming;
    std::string ParentId; ///< The call above, where it runs at this node.
    calls::CallHandle Handle = 0;
    Response HttpResponse;
    bool FailedBelow = false;
    const config::Route *Matched = nullptr; ///< Null: none was found.
    std::string ServiceName;
    config::Rank CallRank = config::Rank::Background;
    uint32_t Attempts = 0;
    std::vector<EndedAttempt> EndedAttempts; ///< Up to MaxAttemptLines.
  };
  /// A call whose step is Wait, until the broker resumes it.
  struct WaitingCall {
    boost::asio::steady_timer Wake;
    std::optional<calls::CallStep> Next;
  };

  boost::asio::awaitable<Response> handleNodeRequest(IncomingRequest incoming);
  boost::asio::awaitable<Response> runAtGate(MeshCall call,
                                             IncomingRequest incoming);
  boost::asio::awaitable<Response> runCall(OriginatedCall call);
  void ended(const OriginatedCall &call, const config::Snapshot *held,
             const calls::CallStep &last, base::Duration took);
  boost::asio::awaitable<calls::CallStep> runSteps(OriginatedCall &call,
                                                   calls::CallStep step);
  boost::asio::awaitable<calls::CallStep>
  awaitDuplicateCall(OriginatedCall &call);
  boost::asio::awaitable<calls::CallStep> raceAttempts(OriginatedCall &call,
                                                       calls::CallStep first);
  bool startSecond(OriginatedCall &call, AttemptRace &race);
  boost::asio::awaitable<calls::CallStep> runLane(OriginatedCall &call,
                                                  calls::CallStep step,
                                                  AttemptRace &race,
                                                  AttemptRace::Lane lane);
  boost::asio::awaitable<calls::CallStep>
  runAttempt(OriginatedCall &call, const calls::CallStep &step,
             std::shared_ptr<ClientWatch> watch, const AttemptRace *race);
  static void recordAttempt(OriginatedCall &call, const calls::CallStep &step,
                            const calls::AttemptResult &result, unsigned status,
                            base::Duration took);
  boost::asio::awaitable<calls::AttemptResult>
  attemptAt(OriginatedCall &call, const calls::CallStep &step,
            std::shared_ptr<ClientWatch> watch, Response &response);
  boost::asio::awaitable<calls::AttemptResult>
  sendToNode(OriginatedCall &call, const calls::CallStep &step,
             const MeshCall &mesh, std::shared_ptr<ClientWatch> watch,
             Response &response);
  calls::CallStep finishAttempt(OriginatedCall &call,
                                const calls::CallStep &step,
                                const calls::AttemptResult &result,
                                Response response);
  void replay(OriginatedCall &call, calls::CallStep &step);
  void resume(calls::CallHandle call, const calls::CallStep &step);
  std::string newCallId();
  void setOwnFields(Request &request) const;

  StoppedNodeBroker StoppedBroker;
  StoppedNodeGate StoppedGate;
  base::SystemClock FallbackClock;
  base::Metrics DiscardedMetrics;
  CallProxyEnvironment Environment;
  MeshKeys Keys;
  ConnectionPool Pool;
  GateRunner LocalGate;
  HedgeTimers Hedges;
  CallMetrics CallTotals;
  base::Random IdGenerator;
  std::unordered_map<calls::CallHandle, WaitingCall *> Waiting;
  bool RefusesLongCalls = false;
};

} // namespace radishcross::http
