#pragma once

#include <LibHttp/AnswerRest.h>
#include <LibHttp/AnswerSizes.h>
#include <LibHttp/CallMetrics.h>
#include <LibHttp/CallProxy.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/MeshCall.h>

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace radishcross::http {

/// Result of a call at the target's node.
struct GateOutcome {
  calls::AttemptResult Result;
  Response HttpResponse; ///< The target's response if Result.End is Answered.
  // For the log and the metrics:
  admission::GateView
      LoadOnArrival; ///< Load of the gate when the call arrived.
  admission::RefusalCause Why = admission::RefusalCause::None;
  bool HasWaited = false;
  bool HasRun = false;
  base::Duration Waited{}; ///< Time in the gate's queue.
  base::Duration Ran{};    ///< Time from admission to the end of the exchange.
};

/// Where the answer of a call goes.
struct AnswerPath {
  /// It is stored for repeats of the call, so it has to be known to be whole
  /// before it is passed on.
  bool IsStored = false;
};

/// Runs calls at local targets, for this node and others, as the admission gate
/// decides.
class GateRunner {
public:
  GateRunner(CallProxyEnvironment &environment, ConnectionPool &pool,
             const MeshKeys &keys, CallMetrics &callMetrics);

  /// Runs one call at a local target.
  boost::asio::awaitable<GateOutcome> run(MeshCall call, Request &request,
                                          uint64_t fingerprint,
                                          std::shared_ptr<ClientWatch> watch,
                                          AnswerPath path);

  /// From now on refuses calls whose deadline is later than \p time.
  void setShutdownTime(base::TimePoint time) { ShutdownTime = time; }

  /// Returns whether a call with this remaining deadline ends before the node
  /// shuts down.
  bool canFinish(base::Duration remaining) const;

  /// Refuses queued calls whose deadline has passed.
  void tick();

  /// Returns the remaining deadline of a call in progress at this node, or
  /// nothing.
  std::optional<base::Duration> remainingOf(const std::string &callId) const;

  /// Returns whether a target of this node is to run the call, or runs it.
  bool isActive(const std::string &callId) const {
    return ActiveCalls.contains(callId);
  }

  /// Records that a nested call made by \p callId failed and that the failure
  /// was handled below.
  void noteFailureBelow(const std::string &callId);

private:
  AnswerSizes::Kind kindOf(const MeshCall &call) const {
    return {call.CallRank, call.LatencyObjective};
  }
  /// A call that has arrived at the gate and not ended.
  struct ActiveCall {
    uint32_t Attempts = 0; ///< At targets of this node.
    base::TimePoint Deadline{};
    bool DownstreamFailed = false;
  };
  struct QueuedCall {
    std::string TargetId;
    boost::asio::steady_timer Wake;
    std::optional<admission::GateAnswer> Decision;
  };

  boost::asio::awaitable<GateOutcome>
  passGate(const MeshCall &call, Request &request, uint64_t fingerprint,
           std::shared_ptr<ClientWatch> watch, AnswerPath path);
  boost::asio::awaitable<admission::GateAnswer>
  awaitTurn(admission::Ticket ticket, const MeshCall &call,
            std::shared_ptr<ClientWatch> watch);
  boost::asio::awaitable<GateOutcome>
  runAtTarget(const MeshCall &call, const fleet::TargetRecord &target,
              Request &request, base::TimePoint deadline,
              std::shared_ptr<ClientWatch> watch, AnswerPath path);
  void applySignals(const MeshCall &call, const Request &request,
                    const fleet::TargetRecord &target, admission::Ticket ticket,
                    const GateOutcome &outcome);
  std::string targetLines(const Request &request, const MeshCall &call) const;
  void dispatch(const std::vector<admission::GateAnswer> &decisions);
  void end(const MeshCall &call, admission::Ticket ticket,
           const GateOutcome &outcome);
  void makeRoom(const std::string &targetId);

  CallProxyEnvironment &Environment;
  ConnectionPool &Pool;
  const MeshKeys &Keys;
  CallMetrics &Metrics;
  std::unordered_map<admission::Ticket, QueuedCall *> Queue;
  std::unordered_map<std::string, ActiveCall> ActiveCalls;
  /// A call whose answer is being passed on; it keeps its slot.
  struct PassedOnCall {
    std::string TargetId;
    AnswerRest *Rest = nullptr;
  };
  std::unordered_map<admission::Ticket, PassedOnCall> PassedOn;
  std::optional<base::TimePoint> ShutdownTime; ///< Set when the node drains.
  AnswerSizes Sizes;
};

} // namespace radishcross::http
