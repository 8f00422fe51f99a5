#include <LibHttp/CallEngine.h>

#include <LibBase/Logger.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/Framing.h>
#include <LibHttp/GateLog.h>
#include <LibHttp/MeshCall.h>
#include <LibHttp/ResponseFields.h>
#include <LibHttp/Responses.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using calls::AttemptEnd;
using calls::CallOutcome;
using calls::CallStep;

/// How much shorter another node's deadline is than this node's: the smaller of
/// a constant and a fraction of the remaining time, so that its report that a
/// call was not run arrives before this node gives up.
constexpr base::Duration MaxResponseMargin = std::chrono::milliseconds(10);
constexpr int MarginDivisor = 8;

} // namespace

/// Makes the call's first attempt and, if there is no response within the hedge
/// delay, a second one concurrently.
asio::awaitable<CallStep> CallEngine::raceAttempts(BrokeredCall &call,
                                                   CallStep first) {
  AttemptRace race(*Environment.Context, call.Incoming.Watch);
  {
    HedgeTimer timer(Hedges, first.HedgeAfter, now(),
                     [&] { return startSecond(call, race); });
    auto lane = AttemptRace::Lane::First;
    race.markEnded(lane, co_await runLane(call, std::move(first), race, lane));
  }
  co_return co_await race.finalStep();
}

/// \p call outlives the second lane, because it waits for the end of the race.
bool CallEngine::startSecond(BrokeredCall &call, AttemptRace &race) {
  auto step = Environment.Broker->hedge(call.Handle, now());
  if (!step)
    return false;
  auto lane = AttemptRace::Lane::Second;
  race.markStarted(lane);
  asio::co_spawn(
      *Environment.Context, runLane(call, std::move(*step), race, lane),
      [&race, lane](const std::exception_ptr &, const CallStep &last) {
        race.markEnded(lane, last);
      });
  return true;
}

/// Makes attempts sequentially until the call is decided or left to the other
/// lane.
asio::awaitable<CallStep> CallEngine::runLane(BrokeredCall &call, CallStep step,
                                              AttemptRace &race,
                                              AttemptRace::Lane lane) {
  try {
    while (step.What == CallStep::Kind::Send && !race.isDecided())
      step = co_await runAttempt(call, step, race.watch(lane), &race);
    co_return step;
  } catch (const std::exception &error) {
    base::log(base::LogLevel::Error, "call attempt failed",
              {{"request", printableId(call.Request.CallId)},
               {"reason", error.what()}});
  }
  CallStep failed;
  failed.Outcome = CallOutcome::Unknown;
  failed.Code = base::ResultCode::Internal;
  co_return failed;
}

/// Makes one attempt and returns the next step, or the same step if another
/// attempt of \p race decided the call meanwhile.
asio::awaitable<CallStep>
CallEngine::runAttempt(BrokeredCall &call, const CallStep &step,
                       std::shared_ptr<ClientWatch> watch,
                       const AttemptRace *race) {
  base::TimePoint sent = now();
  Response response;
  calls::AttemptResult result;
  if (watch->Gone || call.Incoming.Watch->Gone) {
    result.End = AttemptEnd::CallerGone;
    result.Code = base::ResultCode::CallerGone;
  } else if (isKeyRevoked(call)) {
    result.End = AttemptEnd::RefusedNotRun;
    result.Code = base::ResultCode::KeyUnknown;
  } else {
    result = co_await attemptAt(call, step, std::move(watch), response);
  }
  result.Attempt = step.Attempt;
  bool isSuperseded = race && race->isDecided();
  if (isSuperseded && !call.Incoming.Watch->Gone) {
    result.End = AttemptEnd::Superseded;
    result.Code = base::ResultCode::Ok;
  }
  unsigned status =
      result.End == AttemptEnd::Answered ? response.result_int() : 0;
  result.TargetFailed = isServerError(status);
  recordAttempt(call, step, result, status, now() - sent);
  if (isSuperseded)
    co_return step;
  co_return finishAttempt(call, step, result, std::move(response));
}

CallStep CallEngine::finishAttempt(BrokeredCall &call, const CallStep &step,
                                   const calls::AttemptResult &result,
                                   Response response) {
  bool isAnswered = result.End == AttemptEnd::Answered;
  call.DownstreamFailed =
      result.DownstreamFailed || (call.DownstreamFailed && !isAnswered);
  if (isAnswered) {
    call.HttpResponse = std::move(response);
    prepareForNextHop(call.HttpResponse, call.Incoming.Message.method());
  }
  if (isAnswered && step.StoreAnswer) {
    std::string bytes;
    appendMessage(call.HttpResponse, bytes);
    Environment.Broker->storeAnswer(call.Handle, std::move(bytes), now());
  }
  return Environment.Broker->attemptEnded(call.Handle, result, now());
}

/// Records an attempt for the log. At the limit, the newest attempt replaces
/// the last recorded one. The last entry is always the attempt that decided the
/// call, so superseded attempts go before it.
void CallEngine::recordAttempt(BrokeredCall &call, const CallStep &step,
                               const calls::AttemptResult &result,
                               unsigned status, base::Duration took) {
  ++call.Attempts;
  EndedAttempt it;
  it.Number = step.Attempt;
  it.Node = step.To.Node;
  it.IsForward = step.What == CallStep::Kind::Forward;
  it.Hedge = step.Hedge;
  if (!it.IsForward)
    it.TargetId = step.To.Target.TargetId;
  it.Remaining = step.Remaining;
  it.Timeout = step.AttemptTimeout;
  it.Basis = step.Basis;
  it.Result = result;
  it.Took = took;
  it.Status = status;
  auto &recorded = call.EndedAttempts;
  bool keepsLast = result.End == AttemptEnd::Superseded && !recorded.empty();
  if (recorded.size() == MaxAttemptLines)
    recorded.erase(recorded.end() - (keepsLast ? 2 : 1));
  recorded.insert(recorded.end() - (keepsLast ? 1 : 0), std::move(it));
}

/// Makes one attempt, locally or at another node. Ends as CallerGone if \p
/// watch reports a disconnect.
asio::awaitable<calls::AttemptResult>
CallEngine::attemptAt(BrokeredCall &call, const CallStep &step,
                      std::shared_ptr<ClientWatch> watch, Response &response) {
  MeshCall mesh;
  mesh.CallId = call.Request.CallId;
  mesh.CallRank = step.CallRank;
  mesh.Remaining = std::min(step.Remaining, step.AttemptTimeout);
  mesh.LatencyObjective = step.LatencyObjective;
  mesh.StatedRate = step.StatedRate;
  mesh.CanGoElsewhere = step.CanGoElsewhere;
  mesh.Hops = call.Request.Hops;
  mesh.Attempt = step.Hedge == calls::HedgeCause::Late    ? HedgeAttempt
                 : step.Retry || call.Request.WithinRetry ? RetryAttempt
                                                          : 1;
  mesh.ServiceName = step.ServiceName;
  if (step.What == CallStep::Kind::Send)
    mesh.TargetId = step.To.Target.TargetId;
  else
    mesh.KeyHash = call.KeyHash;
  call.WasSent = true;
  bool isLocal =
      step.What == CallStep::Kind::Send && step.To.Node == Environment.NodeId;
  if (!isLocal) {
    mesh.Remaining -=
        std::min(MaxResponseMargin, mesh.Remaining / MarginDivisor);
    co_return co_await sendToNode(call, step, mesh, std::move(watch), response);
  }
  const AnswerPath path{step.StoreAnswer};
  GateOutcome outcome =
      co_await LocalGate.run(std::move(mesh), call.Incoming.Message,
                             call.Request.Fingerprint, std::move(watch), path);
  response = std::move(outcome.HttpResponse);
  co_return outcome.Result;
}

/// Sends a call to another node's mesh listener and reads from the response
/// whether it is the target's own.
asio::awaitable<calls::AttemptResult>
CallEngine::sendToNode(BrokeredCall &call, const CallStep &step,
                       const MeshCall &mesh, std::shared_ptr<ClientWatch> watch,
                       Response &response) {
  Request &request = call.Incoming.Message;
  frameForNextHop(request);
  ExchangePlan plan;
  plan.Server = step.To.Mesh;
  plan.Timeout = step.AttemptTimeout;
  plan.FreshConnection = step.FreshConnection;
  plan.Lines = meshHeaderLines(request, mesh, MeshAudience::Node, Keys);
  plan.IdField = Environment.Headers.RequestId;
  plan.ServerIsNode = true;
  // A stored answer has to be known to be whole before it is passed on.
  if (!step.StoreAnswer)
    plan.ResponseLimits.WindowBytes = AnswerWindowBytes;
  ExchangeResult exchanged =
      co_await exchange(Pool, plan, request, std::move(watch));
  calls::AttemptResult result;
  result.End = exchanged.End;
  result.Latency = exchanged.Latency;
  if (exchanged.End == AttemptEnd::Answered) {
    response = std::move(exchanged.HttpResponse);
    readAttemptResult(response, result);
    if (result.End == AttemptEnd::Answered)
      result.Signals = readTargetSignals(response, Environment.Headers);
    if (result.Signals && result.Signals->IsLeaving)
      logSignals(mesh, requestIdOf(request, Environment.Headers, mesh.CallId),
                 *result.Signals, {.RateLimit = false, .Leaving = true});
  }
  co_return result;
}

} // namespace radishcross::http
