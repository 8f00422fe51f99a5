#include <LibHttp/GateRunner.h>

#include <LibCalls/CallTypes.h>
#include <LibHttp/CallLog.h>
#include <LibHttp/Framing.h>
#include <LibHttp/GateLog.h>
#include <LibHttp/ResponseFields.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using admission::GateAnswer;
using calls::AttemptEnd;

GateOutcome refusal(base::ResultCode code, base::Duration retryAfter = {}) {
  GateOutcome outcome;
  outcome.Result.End = code == base::ResultCode::CallerGone
                           ? AttemptEnd::CallerGone
                           : AttemptEnd::RefusedNotRun;
  outcome.Result.Code = code;
  outcome.Result.RetryAfter = retryAfter;
  return outcome;
}

/// Returns whether a target reports that it did not run the request.
bool saysNotRun(const Response &response, const calls::CallHeaders &names) {
  if (response.result() == boost::beast::http::status::misdirected_request ||
      response.count(names.NotRun) != 0)
    return true;
  return fieldOf(response, calls::OutcomeHeader) ==
         base::nameOf(calls::CallOutcomeNames, calls::CallOutcome::NotRun);
}

/// Returns whether \p caller, a name with or without its configuration, is the
/// service \p serviceName, "configuration/name".
bool isFromService(std::string_view caller, std::string_view serviceName) {
  if (caller.empty() || !serviceName.ends_with(caller))
    return false;
  size_t before = serviceName.size() - caller.size();
  return before == 0 || serviceName[before - 1] == '/';
}

/// Returns the length of the whole body, as far as it is known.
size_t bodyBytesOf(const Response &response) {
  const auto whole = response.Rest ? response.Rest->wholeBytes() : std::nullopt;
  return whole ? static_cast<size_t>(*whole) : response.body().size();
}

/// An answer that the link will have to carry once the target has made it.
class ExpectedAnswer {
public:
  ExpectedAnswer(std::shared_ptr<LinkPacer> link, size_t bytes)
      : Link(std::move(link)), Bytes(bytes) {
    Link->expect(Bytes);
  }
  ~ExpectedAnswer() { Link->unexpect(Bytes); }
  ExpectedAnswer(const ExpectedAnswer &) = delete;
  ExpectedAnswer &operator=(const ExpectedAnswer &) = delete;

private:
  std::shared_ptr<LinkPacer> Link;
  size_t Bytes;
};

} // namespace

GateRunner::GateRunner(CallProxyEnvironment &environment, ConnectionPool &pool,
                       const MeshKeys &keys, CallMetrics &callMetrics)
    : Environment(environment), Pool(pool), Keys(keys), Metrics(callMetrics) {}

asio::awaitable<GateOutcome> GateRunner::run(MeshCall call, Request &request,
                                             uint64_t fingerprint,
                                             std::shared_ptr<ClientWatch> watch,
                                             AnswerPath path) {
  auto &active = ActiveCalls[call.CallId];
  ++active.Attempts;
  active.Deadline = Environment.Time->now() + call.Remaining;
  GateOutcome outcome =
      co_await passGate(call, request, fingerprint, std::move(watch), path);
  Metrics.countGateCall(call, outcome);
  logGateCall(call, requestIdOf(request, Environment.Headers, call.CallId),
              outcome);
  outcome.Result.PressurePermille =
      Environment.Gate->pressurePermille(call.TargetId);
  if (Environment.Link)
    outcome.Result.PressurePermille =
        std::max(outcome.Result.PressurePermille,
                 Environment.Link->pressurePermille(Environment.Time->now()));
  auto it = ActiveCalls.find(call.CallId);
  if (it != ActiveCalls.end()) {
    outcome.Result.DownstreamFailed = it->second.DownstreamFailed;
    if (--it->second.Attempts == 0)
      ActiveCalls.erase(it);
  }
  co_return outcome;
}

asio::awaitable<GateOutcome>
GateRunner::passGate(const MeshCall &call, Request &request,
                     uint64_t fingerprint, std::shared_ptr<ClientWatch> watch,
                     AnswerPath path) {
  auto target = Environment.LocalTarget(call.TargetId);
  if (!target)
    co_return refusal(base::ResultCode::NoTarget);
  if (!canFinish(call.Remaining))
    co_return refusal(base::ResultCode::Draining);
  base::TimePoint now = Environment.Time->now();
  admission::Arrival arrival{
      call.CallId,    call.ServiceName, call.TargetId,         call.CallRank,
      call.Remaining, fingerprint,      call.LatencyObjective, call.StatedRate};
  arrival.IsFromOwnService = isFromService(
      fieldOf(request, Environment.Headers.CallerService), call.ServiceName);
  arrival.Tenant = fieldOf(request, Environment.Headers.Tenant);
  // Without mesh keys no hops are counted.
  arrival.IsNested = call.Hops > 0;
  arrival.IsProvable = !Keys.empty();
  arrival.CanGoElsewhere = call.CanGoElsewhere;
  size_t expectedBytes = Environment.Link ? Sizes.expected(kindOf(call)) : 0;
  if (expectedBytes > 0)
    arrival.LinkTime = Environment.Link->timeUntilSent(expectedBytes, now);
  GateAnswer decision = Environment.Gate->arrive(arrival, now);
  admission::Ticket ticket = decision.Call;
  admission::GateView loadOnArrival = decision.Found;
  bool isNested = decision.IsNested;
  bool hasWaited = decision.What == GateAnswer::Kind::Queued;
  if (hasWaited && call.Attempt == HedgeAttempt) {
    Environment.Gate->abandoned(ticket, now);
    decision = GateAnswer::refuse(ticket, base::ResultCode::Overloaded, {},
                                  admission::RefusalCause::Hedge);
  } else if (hasWaited) {
    decision = co_await awaitTurn(ticket, call, watch);
  } else if (decision.What == GateAnswer::Kind::Refuse) {
    makeRoom(call.TargetId);
  }
  base::TimePoint turn = Environment.Time->now();
  bool hasRun = decision.What == GateAnswer::Kind::Run;
  GateOutcome outcome;
  // g++ 12 miscompiles co_await inside a conditional expression.
  std::optional<ExpectedAnswer> expected;
  if (hasRun && expectedBytes > 0)
    expected.emplace(Environment.Link, expectedBytes);
  if (hasRun)
    outcome = co_await runAtTarget(call, *target, request, now + call.Remaining,
                                   watch, path);
  else
    outcome = refusal(decision.Code, decision.RetryAfter);
  outcome.HasRun = hasRun;
  outcome.Result.IsNested = isNested;
  outcome.Result.ExpectedTime = loadOnArrival.Expected;
  outcome.LoadOnArrival = loadOnArrival;
  outcome.Why = decision.Why;
  outcome.HasWaited = hasWaited;
  outcome.Waited = turn - now;
  if (!hasRun)
    co_return outcome;
  outcome.Ran = Environment.Time->now() - turn;
  expected.reset();
  if (outcome.Result.End == AttemptEnd::Answered)
    Sizes.observed(kindOf(call), bodyBytesOf(outcome.HttpResponse));
  applySignals(call, request, *target, ticket, outcome);
  if (outcome.Result.Code == base::ResultCode::TargetRefused) {
    const auto load =
        outcome.Result.Signals ? outcome.Result.Signals->Load : std::nullopt;
    outcome.Result.Refusal =
        Environment.Gate->judgeRefusal(ticket, load, Environment.Time->now());
    Environment.Counters->counter(
        "target_refusals_total{kind=\"" +
        std::string(
            base::nameOf(balance::RefusalKindNames, outcome.Result.Refusal)) +
        "\"}") += 1;
  }
  end(call, ticket, outcome);
  co_return outcome;
}

/// Frees the slot of a call, with a rest of its answer once that has ended.
void GateRunner::end(const MeshCall &call, admission::Ticket ticket,
                     const GateOutcome &outcome) {
  const auto &rest = outcome.HttpResponse.Rest;
  if (!rest) {
    dispatch(Environment.Gate->ended(ticket, outcome.Result,
                                     Environment.Time->now()));
    return;
  }
  PassedOn[ticket] = {call.TargetId, rest.get()};
  rest->addOnEnd([this, ticket, result = outcome.Result](
                     RestEnd how, base::Duration awaitedReader) mutable {
    PassedOn.erase(ticket);
    if (how == RestEnd::Broken)
      result.End = AttemptEnd::Broken;
    else if (how == RestEnd::Abandoned)
      result.End = AttemptEnd::CallerGone;
    result.AwaitedReader = awaitedReader;
    dispatch(Environment.Gate->ended(ticket, result, Environment.Time->now()));
  });
}

/// Ends the reader that has stopped reading for longest, so that another call
/// gets its slot at the target.
void GateRunner::makeRoom(const std::string &targetId) {
  AnswerRest *longest = nullptr;
  const auto now = base::SystemClock().now();
  auto stalled = MemoryAccount::StallTime;
  for (const auto &[ticket, it] : PassedOn) {
    const auto time = it.Rest->stalledFor(now);
    if (it.TargetId != targetId || time < stalled)
      continue;
    stalled = time;
    longest = it.Rest;
  }
  if (!longest)
    return;
  Environment.Counters->counter("stalled_readers_ended_total") += 1;
  longest->giveWay();
}

/// Passes on to the gate what the target states about itself.
void GateRunner::applySignals(const MeshCall &call, const Request &request,
                              const fleet::TargetRecord &target,
                              admission::Ticket ticket,
                              const GateOutcome &outcome) {
  const auto &signals = outcome.Result.Signals;
  if (!signals)
    return;
  SignalNews news;
  news.RateLimit =
      Environment.Gate->signalled(ticket, *signals, Environment.Time->now());
  news.Leaving = signals->IsLeaving && Environment.OnTargetLeaving &&
                 Environment.OnTargetLeaving(target.TargetId, target.Epoch);
  logSignals(call, requestIdOf(request, Environment.Headers, call.CallId),
             *signals, news);
  if (signals->IsLimitMalformed)
    Environment.Counters->counter("target_limits_malformed_total") += 1;
  if (signals->IsLoadMalformed)
    Environment.Counters->counter("target_loads_malformed_total") += 1;
}

/// Waits until the gate decides, the deadline passes or the caller disconnects.
asio::awaitable<GateAnswer>
GateRunner::awaitTurn(admission::Ticket ticket, const MeshCall &call,
                      std::shared_ptr<ClientWatch> watch) {
  QueuedCall queued{call.TargetId,
                    asio::steady_timer(*Environment.Context, call.Remaining),
                    std::nullopt};
  Queue[ticket] = &queued;
  watch->OnGone = [&queued] { queued.Wake.cancel(); };
  makeRoom(call.TargetId);
  boost::system::error_code ec;
  if (!queued.Decision)
    co_await queued.Wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  watch->OnGone = nullptr;
  Queue.erase(ticket);
  if (queued.Decision)
    co_return *queued.Decision;
  Environment.Gate->abandoned(ticket, Environment.Time->now());
  GateAnswer late;
  late.Call = ticket;
  late.Code = watch->Gone ? base::ResultCode::CallerGone
                          : base::ResultCode::DeadlineExceeded;
  co_return late;
}

asio::awaitable<GateOutcome>
GateRunner::runAtTarget(const MeshCall &call, const fleet::TargetRecord &target,
                        Request &request, base::TimePoint deadline,
                        std::shared_ptr<ClientWatch> watch, AnswerPath path) {
  MeshCall parent = call;
  parent.Remaining = deadline - Environment.Time->now();
  if (watch->Gone)
    co_return refusal(base::ResultCode::CallerGone);
  if (parent.Remaining.count() <= 0)
    co_return refusal(base::ResultCode::DeadlineExceeded);
  frameForNextHop(request);
  ExchangePlan plan;
  plan.Server = target.Where;
  plan.Timeout = parent.Remaining;
  plan.Lines = targetLines(request, parent);
  plan.IdField = Environment.Headers.RequestId;
  plan.NotRunField = Environment.Headers.NotRun;
  if (!path.IsStored)
    plan.ResponseLimits.WindowBytes = AnswerWindowBytes;
  ExchangeResult result = co_await exchange(Pool, plan, request, watch);
  GateOutcome outcome;
  outcome.Result.End = result.End;
  outcome.Result.Latency = result.Latency;
  if (result.End == AttemptEnd::Answered)
    outcome.Result.Signals =
        readTargetSignals(result.HttpResponse, Environment.Headers);
  if (result.End == AttemptEnd::Answered &&
      saysNotRun(result.HttpResponse, Environment.Headers)) {
    outcome.Result.End = AttemptEnd::RefusedNotRun;
    outcome.Result.Code = base::ResultCode::TargetRefused;
  }
  if (outcome.Result.End == AttemptEnd::NotSent)
    outcome.Result.Code = base::ResultCode::NoTarget;
  outcome.HttpResponse = std::move(result.HttpResponse);
  // Only a target's answer is passed on.
  if (outcome.Result.End != AttemptEnd::Answered)
    outcome.HttpResponse.Rest.reset();
  co_return outcome;
}

/// Returns the header lines for a target: its id, the deadline and, if there is
/// a key, the proof for its nested calls.
std::string GateRunner::targetLines(const Request &request,
                                    const MeshCall &call) const {
  const auto &names = Environment.Headers;
  std::string out;
  if (!Keys.empty()) {
    out = meshHeaderLines(request, call, MeshAudience::Target, Keys);
  } else {
    auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.Remaining);
    out = names.Deadline + ": " + std::to_string(left.count()) + "\r\n";
  }
  return out + names.ExpectedTarget + ": " + call.TargetId + "\r\n";
}

void GateRunner::dispatch(const std::vector<GateAnswer> &decisions) {
  for (const GateAnswer &decision : decisions) {
    auto it = Queue.find(decision.Call);
    if (it == Queue.end())
      continue;
    it->second->Decision = decision;
    it->second->Wake.cancel();
  }
}

std::optional<base::Duration>
GateRunner::remainingOf(const std::string &callId) const {
  auto it = ActiveCalls.find(callId);
  if (it == ActiveCalls.end())
    return std::nullopt;
  return it->second.Deadline - Environment.Time->now();
}

void GateRunner::noteFailureBelow(const std::string &callId) {
  auto it = ActiveCalls.find(callId);
  if (it != ActiveCalls.end())
    it->second.DownstreamFailed = true;
}

bool GateRunner::canFinish(base::Duration remaining) const {
  return !ShutdownTime || Environment.Time->now() + remaining <= *ShutdownTime;
}

void GateRunner::tick() {
  dispatch(Environment.Gate->tick(Environment.Time->now()));
  if (PassedOn.empty())
    return;
  std::vector<std::string> wanted;
  for (const auto &[ticket, it] : Queue)
    wanted.push_back(it->TargetId);
  for (const auto &it : wanted)
    makeRoom(it);
}

} // namespace radishcross::http
