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
#include <LibHttp/TokenWaiters.h>
#include <LibTenants/AllotmentPort.h>
#include <LibTenants/TenantDirectory.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishcross::http {

/// Executes the decisions of the broker and the admission gate for requests of
/// both listeners. Must outlive the listeners while requests are being handled.
class CallEngine {
public:
  explicit CallEngine(CallProxyEnvironment environment);
  CallEngine(const CallEngine &) = delete;
  CallEngine &operator=(const CallEngine &) = delete;

  /// Replaces everything that belongs to the node by inert stand-ins, so that
  /// calls still in flight can end after the node has been destroyed.
  void detach();

  /// Handles a client's request, or a nested call made by a local target.
  boost::asio::awaitable<Response> handleCaller(IncomingRequest incoming);

  /// Handles a request of another node.
  boost::asio::awaitable<Response> handleMesh(IncomingRequest incoming);

  /// From now on the gate refuses calls whose deadline is later than \p time,
  /// as Draining.
  void setShutdownTime(base::TimePoint time) {
    LocalGate.setShutdownTime(time);
  }

  /// From now on refuses clients' calls as Draining if they may outlast the
  /// node or carry no deadline. Authenticated nested calls of targets are still
  /// accepted.
  void refuseLongCalls() { RefusesLongCalls = true; }

  /// See CallProxy::setAllotments.
  void setAllotments(tenants::AllotmentPort *allotments) {
    Allotments = allotments;
    if (allotments)
      allotments->setListener(WaitingForTokens);
  }

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
  /// A call for which this node runs the broker: a client's, a nested one or
  /// one forwarded by another node.
  struct BrokeredCall {
    calls::CallRequest Request;
    IncomingRequest Incoming;
    std::string ParentId;    ///< The parent call, if that runs here.
    std::string KeyHash;     ///< Of the key that the tenant sent; empty: none.
    bool HoldsToken = false; ///< Of its tenant's allotment.
    bool WasSent = false;    ///< To a target or to its key's owner.
    calls::CallHandle Handle = 0;
    Response HttpResponse;
    bool DownstreamFailed = false;
    const config::Route *Matched = nullptr; ///< Null if no route matched.
    std::string ServiceName;
    config::Rank CallRank = config::Rank::Background;
    uint32_t Attempts = 0;
    std::vector<EndedAttempt> EndedAttempts; ///< At most MaxAttemptLines.
  };
  /// A call in step Wait until the broker resumes it.
  struct WaitingCall {
    boost::asio::steady_timer Wake;
    std::optional<calls::CallStep> Next;
  };

  boost::asio::awaitable<Response> handleNodeRequest(IncomingRequest incoming);
  boost::asio::awaitable<Response> runAtGate(MeshCall call,
                                             IncomingRequest incoming);
  boost::asio::awaitable<Response> runCall(BrokeredCall call);
  tenants::Identity identify(Request &request, bool isNested);
  boost::asio::awaitable<tenants::AllotmentVerdict>
  takeToken(BrokeredCall &call, uint32_t ratePerSecond);
  boost::asio::awaitable<tenants::AllotmentVerdict>
  awaitToken(const BrokeredCall &call, tenants::AllotmentVerdict verdict);
  void returnToken(const BrokeredCall &call);
  bool isKeyRevoked(const BrokeredCall &call);
  Response refuse(const BrokeredCall &call, base::ResultCode code,
                  base::Duration retryAfter);
  void noteRestEnd(const BrokeredCall &call);
  void ended(const BrokeredCall &call, const config::Snapshot *held,
             const calls::CallStep &last, base::Duration took);
  boost::asio::awaitable<calls::CallStep> runSteps(BrokeredCall &call,
                                                   calls::CallStep step);
  boost::asio::awaitable<calls::CallStep>
  awaitDuplicateCall(BrokeredCall &call);
  boost::asio::awaitable<calls::CallStep> raceAttempts(BrokeredCall &call,
                                                       calls::CallStep first);
  bool startSecond(BrokeredCall &call, AttemptRace &race);
  boost::asio::awaitable<calls::CallStep> runLane(BrokeredCall &call,
                                                  calls::CallStep step,
                                                  AttemptRace &race,
                                                  AttemptRace::Lane lane);
  boost::asio::awaitable<calls::CallStep>
  runAttempt(BrokeredCall &call, const calls::CallStep &step,
             std::shared_ptr<ClientWatch> watch, const AttemptRace *race);
  static void recordAttempt(BrokeredCall &call, const calls::CallStep &step,
                            const calls::AttemptResult &result, unsigned status,
                            base::Duration took);
  boost::asio::awaitable<calls::AttemptResult>
  attemptAt(BrokeredCall &call, const calls::CallStep &step,
            std::shared_ptr<ClientWatch> watch, Response &response);
  boost::asio::awaitable<calls::AttemptResult>
  sendToNode(BrokeredCall &call, const calls::CallStep &step,
             const MeshCall &mesh, std::shared_ptr<ClientWatch> watch,
             Response &response);
  calls::CallStep finishAttempt(BrokeredCall &call, const calls::CallStep &step,
                                const calls::AttemptResult &result,
                                Response response);
  void replay(BrokeredCall &call, calls::CallStep &step);
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
  tenants::TenantDirectory Tenants;
  tenants::AllotmentPort *Allotments = nullptr;
  std::shared_ptr<TokenWaiters> WaitingForTokens =
      std::make_shared<TokenWaiters>();
  base::Random IdGenerator;
  std::unordered_map<calls::CallHandle, WaitingCall *> Waiting;
  bool RefusesLongCalls = false;
};

} // namespace radishcross::http
