#include <LibHttp/CallEngine.h>

#include <LibBase/Hash.h>
#include <LibBase/Logger.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/AnswerFields.h>
#include <LibHttp/Answers.h>
#include <LibHttp/Framing.h>
#include <LibHttp/MeshCall.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdio>
#include <exception>
#include <random>

// g++ 12 takes the frames' operator new, when it is inlined, for another one
// than that of their operator delete.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
namespace bh = boost::beast::http;
using calls::AttemptEnd;
using calls::CallOutcome;
using calls::CallStep;

/// When a caller may come back to a node that cannot take its call now.
constexpr base::Duration ComeBackDelay = std::chrono::seconds(1);
/// What the broker is told of a deadline that has passed.
constexpr base::Duration PassedDeadline{-1};

/// What another node's deadline is shorter by, at most and as a share of it:
/// its word that a call has not run arrives before this node gives up.
constexpr base::Duration AnswerMargin = std::chrono::milliseconds(10);
constexpr int MarginShare = 8;

/// Deadlines beyond a day say nothing.
constexpr int64_t LongestDeadlineMs = 86'400'000;

uint64_t fingerprintOf(const Request &request) {
  uint64_t head = base::hash64(
      std::string_view(request.target().data(), request.target().size()),
      base::hash64(std::string(request.method_string())));
  return base::hash64(request.body(), head);
}

/// Returns the time that a caller gives, 0 where it gives none.
base::Duration deadlineOf(const Request &request, const std::string &name) {
  std::string_view text = fieldOf(request, name);
  int64_t ms = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (text.empty() || ec != std::errc() || end != text.data() + text.size() ||
      ms > LongestDeadlineMs)
    return {};
  return ms > 0 ? base::Duration(std::chrono::milliseconds(ms))
                : PassedDeadline;
}

/// Ends a call at the broker on every way out.
class CallGuard {
public:
  CallGuard(const CallProxyEnvironment &node, calls::CallHandle call)
      : Node(node), Call(call) {}
  ~CallGuard() { Node.Broker->end(Call, Node.Time->now()); }
  CallGuard(const CallGuard &) = delete;
  CallGuard &operator=(const CallGuard &) = delete;

private:
  const CallProxyEnvironment &Node;
  calls::CallHandle Call;
};

} // namespace

CallEngine::CallEngine(CallProxyEnvironment environment)
    : Environment(std::move(environment)), Keys(Environment.MeshKeys),
      Pool(*Environment.Context), Targets(Environment, Pool, Keys, Figures),
      Figures(*Environment.Counters),
      Ids(std::random_device()() ^ base::hash64(Environment.NodeId)) {
  Environment.Broker->whenResumed(
      [this](calls::CallHandle call, const CallStep &step) {
        resume(call, step);
      });
}

void CallEngine::detach() {
  Environment.Broker->whenResumed({});
  Environment.Broker = &NoBroker;
  Environment.Gate = &NoGate;
  Environment.Time = &OwnClock;
  Environment.Counters = &Discarded;
  Environment.CurrentSnapshot = [] { return config::SnapshotPointer(); };
  Environment.LocalTarget = [](const std::string &) {
    return std::optional<fleet::TargetRecord>();
  };
  Figures = CallFigures(Discarded);
}

void CallEngine::tick() {
  Hedges.tick(now());
  Targets.tick();
  Pool.tick(OwnClock.now());
}

std::string CallEngine::newCallId() {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Ids.next()),
                static_cast<unsigned long long>(Ids.next()));
  return buf.data();
}

asio::awaitable<Response> CallEngine::handleCaller(IncomingRequest incoming) {
  OwnCall call;
  base::LastReason reason;
  // Without keys nobody could prove to be a target that passes a call on.
  auto parent = Keys.empty() ? std::nullopt
                             : readMeshCall(incoming.Message,
                                            MeshAudience::Target, Keys, reason);
  call.Request.Remaining =
      deadlineOf(incoming.Message, Environment.Headers.Deadline);
  // Without a proof a target's deeper calls look like any other; they are
  // short.
  auto remaining = call.Request.Remaining;
  bool isShort = remaining.count() > 0 && Targets.canEnd(remaining);
  if (!parent && RefusesLongCalls && !isShort) {
    CallStep refused;
    refused.Code = base::ResultCode::Draining;
    call.Incoming = std::move(incoming);
    ended(call, nullptr, refused, {});
    co_return makeAnswer(refused.Code, CallOutcome::NotRun, {}, ComeBackDelay);
  }
  if (parent) {
    remaining = Targets.remainingOf(parent->CallId).value_or(parent->Remaining);
    call.Request.ParentRank = parent->CallRank;
    call.Request.Hops = parent->Hops + 1;
    call.Request.Remaining = remaining.count() > 0 ? remaining : PassedDeadline;
    call.Request.BelowRetry = parent->Attempt >= RetryAttempt;
    call.ParentId = std::move(parent->CallId);
  }
  stripMeshFields(incoming.Message);
  dropHopFields(incoming.Message);
  setOwnFields(incoming.Message);
  call.Request.CallId = newCallId();
  call.Incoming = std::move(incoming);
  co_return co_await runCall(std::move(call));
}

/// Removes what a caller may not say and names the service that calls.
void CallEngine::setOwnFields(Request &request) const {
  const auto &names = Environment.Headers;
  request.erase(names.Deadline);
  request.erase(names.ExpectedTarget);
  request.erase(names.CallerService);
  if (!Environment.LocalService.empty())
    request.set(names.CallerService, Environment.LocalService);
}

/// Answers with the request's id, by which the other node knows its answer.
asio::awaitable<Response> CallEngine::handleMesh(IncomingRequest incoming) {
  std::string id(fieldOf(incoming.Message, Environment.Headers.RequestId));
  Response answer = co_await answerNode(std::move(incoming));
  if (!id.empty())
    answer.set(Environment.Headers.RequestId, id);
  co_return answer;
}

asio::awaitable<Response> CallEngine::answerNode(IncomingRequest incoming) {
  base::LastReason reason;
  auto mesh = readMeshCall(incoming.Message, MeshAudience::Node, Keys, reason);
  if (!mesh) {
    Environment.Counters->counter("mesh_requests_refused_total") += 1;
    co_return makeAnswer(reason.code(), CallOutcome::NotRun, reason.text());
  }
  stripMeshFields(incoming.Message);
  dropHopFields(incoming.Message);
  if (!mesh->TargetId.empty())
    co_return co_await runAtGate(std::move(*mesh), std::move(incoming));
  OwnCall call;
  call.Request.CallId = std::move(mesh->CallId);
  call.Request.FromMesh = true;
  call.Request.ParentRank = mesh->CallRank;
  call.Request.Hops = mesh->Hops;
  call.Request.Remaining =
      mesh->Remaining.count() > 0 ? mesh->Remaining : PassedDeadline;
  call.Request.BelowRetry = mesh->Attempt >= RetryAttempt;
  call.Incoming = std::move(incoming);
  co_return co_await runCall(std::move(call));
}

/// Answers a call of another node with the target's answer or a refusal.
asio::awaitable<Response> CallEngine::runAtGate(MeshCall call,
                                                IncomingRequest incoming) {
  uint64_t fingerprint = fingerprintOf(incoming.Message);
  bh::verb method = incoming.Message.method();
  GateOutcome outcome = co_await Targets.run(std::move(call), incoming.Message,
                                             fingerprint, incoming.Watch);
  Response answer;
  if (outcome.Result.End == AttemptEnd::Answered) {
    answer = std::move(outcome.Answer);
    reframe(answer, method);
  } else {
    answer = refusalOf(outcome.Result);
  }
  answer.set(calls::PressureHeader,
             std::to_string(outcome.Result.PressurePermille));
  if (outcome.Result.FailedBelow)
    answer.set(calls::AttemptHeader, FailedBelowMark);
  co_return answer;
}

asio::awaitable<Response> CallEngine::runCall(OwnCall call) {
  config::SnapshotPointer snapshot = Environment.CurrentSnapshot();
  if (!snapshot) {
    CallStep refused;
    refused.Code = base::ResultCode::NotRecovered;
    ended(call, nullptr, refused, {});
    co_return makeAnswer(refused.Code, CallOutcome::NotRun, {}, ComeBackDelay);
  }
  const Request &request = call.Incoming.Message;
  call.Request.Method = request.method_string();
  call.Request.Host = fieldOf(request, "Host");
  call.Request.Path = request.target();
  call.Request.IdempotencyKey = fieldOf(request, calls::IdempotencyKeyHeader);
  call.Request.Fingerprint = fingerprintOf(request);
  base::TimePoint started = now();
  call.Handle = Environment.Broker->begin(call.Request, snapshot, started);
  CallGuard guard(Environment, call.Handle);
  CallStep first = Environment.Broker->step(call.Handle);
  call.Matched = first.Matched;
  call.ServiceName = first.ServiceName;
  call.CallRank = first.CallRank;
  CallStep last = co_await runSteps(call, first);
  ended(call, snapshot.get(), last, now() - started);
  bool answered = last.Outcome == CallOutcome::Answered;
  if (!call.ParentId.empty() && (!answered || call.FailedBelow))
    Targets.failedBelow(call.ParentId);
  if (!answered)
    call.Answer = makeAnswer(last.Code, last.Outcome, {}, last.RetryAfter);
  co_return std::move(call.Answer);
}

/// Counts and logs a call that has ended.
void CallEngine::ended(const OwnCall &call, const config::Snapshot *held,
                       const CallStep &last, base::Duration took) {
  Figures.ended(call.ServiceName, call.CallRank, last.Outcome, last.Code, took);
  EndedCall line;
  line.RequestId = requestIdOf(call.Incoming.Message, Environment.Headers,
                               call.Request.CallId);
  line.Request = &call.Request;
  line.Held = held;
  line.Matched = call.Matched;
  line.ServiceName = call.ServiceName;
  line.CallRank = call.CallRank;
  if (!call.Tried.empty())
    line.TargetId = call.Tried.back().TargetId;
  line.Tried = &call.Tried;
  line.Attempts = call.Attempts;
  line.Outcome = last.Outcome;
  line.Code = last.Code;
  line.Stop = last.Stop;
  line.RetriesLeft = last.RetriesLeft;
  line.RetryAfter = last.RetryAfter;
  if (last.Outcome == CallOutcome::Answered)
    line.Status = call.Answer.result_int();
  line.Took = took;
  logEndedCall(line);
}

/// Carries out the broker's steps until the call's last one.
asio::awaitable<CallStep> CallEngine::runSteps(OwnCall &call, CallStep step) {
  while (step.What != CallStep::Kind::Finish) {
    if (step.What == CallStep::Kind::Replay) {
      replay(call, step);
    } else if (step.What == CallStep::Kind::Wait) {
      step = co_await awaitEqualCall(call);
    } else if (step.HedgeAfter > base::Duration::zero()) {
      step = co_await raceAttempts(call, step);
    } else {
      step = co_await runAttempt(call, step, call.Incoming.Watch, nullptr);
    }
  }
  co_return step;
}

/// Makes the call's first attempt and, once it has been silent for long enough,
/// a second one beside it.
asio::awaitable<CallStep> CallEngine::raceAttempts(OwnCall &call,
                                                   CallStep first) {
  AttemptRace race(*Environment.Context, call.Incoming.Watch);
  {
    HedgeTimer timer(Hedges, first.HedgeAfter, now(),
                     [&] { return startSecond(call, race); });
    auto lane = AttemptRace::Lane::First;
    race.ended(lane, co_await runLane(call, std::move(first), race, lane));
  }
  co_return co_await race.lastStep();
}

/// The call, which waits for the race's end, outlives the second lane.
bool CallEngine::startSecond(OwnCall &call, AttemptRace &race) {
  auto step = Environment.Broker->hedge(call.Handle, now());
  if (!step)
    return false;
  auto lane = AttemptRace::Lane::Second;
  race.started(lane);
  asio::co_spawn(
      *Environment.Context, runLane(call, std::move(*step), race, lane),
      [&race, lane](const std::exception_ptr &, const CallStep &last) {
        race.ended(lane, last);
      });
  return true;
}

/// Makes one attempt after the other, until the call is decided or is left to
/// the other lane.
asio::awaitable<CallStep> CallEngine::runLane(OwnCall &call, CallStep step,
                                              AttemptRace &race,
                                              AttemptRace::Lane lane) {
  try {
    while (step.What == CallStep::Kind::Send && !race.isDecided())
      step = co_await runAttempt(call, step, race.watch(lane), &race);
    co_return step;
  } catch (const std::exception &error) {
    base::log(
        base::LogLevel::Error, "call attempt failed",
        {{"request", plainId(call.Request.CallId)}, {"reason", error.what()}});
  }
  CallStep failed;
  failed.Outcome = CallOutcome::Unknown;
  failed.Code = base::ResultCode::Internal;
  co_return failed;
}

/// Makes one attempt and returns the step that follows; the same step where
/// the call was decided by another attempt of \p race meanwhile.
asio::awaitable<CallStep>
CallEngine::runAttempt(OwnCall &call, const CallStep &step,
                       std::shared_ptr<ClientWatch> watch,
                       const AttemptRace *race) {
  base::TimePoint sent = now();
  Response answer;
  calls::AttemptResult result;
  if (watch->Gone || call.Incoming.Watch->Gone) {
    result.End = AttemptEnd::CallerGone;
    result.Code = base::ResultCode::CallerGone;
  } else {
    result = co_await attemptAt(call, step, std::move(watch), answer);
  }
  result.Attempt = step.Attempt;
  bool isSuperseded = race && race->isDecided();
  if (isSuperseded && !call.Incoming.Watch->Gone) {
    result.End = AttemptEnd::Superseded;
    result.Code = base::ResultCode::Ok;
  }
  unsigned status =
      result.End == AttemptEnd::Answered ? answer.result_int() : 0;
  result.TargetFailed = isFailure(status);
  noteAttempt(call, step, result, status, now() - sent);
  if (isSuperseded)
    co_return step;
  co_return conclude(call, step, result, std::move(answer));
}

CallStep CallEngine::conclude(OwnCall &call, const CallStep &step,
                              const calls::AttemptResult &result,
                              Response answer) {
  bool isAnswered = result.End == AttemptEnd::Answered;
  call.FailedBelow = result.FailedBelow || (call.FailedBelow && !isAnswered);
  if (isAnswered) {
    call.Answer = std::move(answer);
    reframe(call.Answer, call.Incoming.Message.method());
  }
  if (isAnswered && step.KeepAnswer) {
    std::string bytes;
    appendMessage(call.Answer, bytes);
    Environment.Broker->keepAnswer(call.Handle, std::move(bytes), now());
  }
  return Environment.Broker->attemptEnded(call.Handle, result, now());
}

/// Answers with the kept answer; one that cannot be read is unknown.
void CallEngine::replay(OwnCall &call, CallStep &step) {
  auto answer = parseAnswer(Environment.Broker->keptAnswer(call.Handle));
  step.What = CallStep::Kind::Finish;
  step.Outcome = answer ? CallOutcome::Answered : CallOutcome::Unknown;
  step.Code =
      answer ? base::ResultCode::Ok : base::ResultCode::CallOutcomeUnknown;
  if (answer)
    call.Answer = std::move(*answer);
}

/// Waits until the broker resumes the call, or its caller goes away.
asio::awaitable<CallStep> CallEngine::awaitEqualCall(OwnCall &call) {
  WaitingCall waiting{asio::steady_timer(*Environment.Context,
                                         asio::steady_timer::time_point::max()),
                      std::nullopt};
  Waiting[call.Handle] = &waiting;
  call.Incoming.Watch->OnGone = [&waiting] { waiting.Wake.cancel(); };
  boost::system::error_code ec;
  co_await waiting.Wake.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  call.Incoming.Watch->OnGone = nullptr;
  Waiting.erase(call.Handle);
  if (waiting.Next)
    co_return *waiting.Next;
  CallStep gone;
  gone.Outcome = CallOutcome::Unknown;
  gone.Code = base::ResultCode::CallerGone;
  co_return gone;
}

void CallEngine::resume(calls::CallHandle call, const CallStep &step) {
  auto it = Waiting.find(call);
  if (it == Waiting.end())
    return;
  it->second->Next = step;
  it->second->Wake.cancel();
}

/// Keeps what the log says of an attempt; the newest of too many take the place
/// of the last. The last one is that with the call's last word.
void CallEngine::noteAttempt(OwnCall &call, const CallStep &step,
                             const calls::AttemptResult &result,
                             unsigned status, base::Duration took) {
  ++call.Attempts;
  EndedAttempt it;
  it.Number = step.Attempt;
  it.Node = step.To.Node;
  it.IsForward = step.What == CallStep::Kind::Forward;
  if (!it.IsForward)
    it.TargetId = step.To.Target.TargetId;
  it.Remaining = step.Remaining;
  it.Timeout = step.AttemptTimeout;
  it.Basis = step.Basis;
  it.Result = result;
  it.Took = took;
  it.Status = status;
  auto &tried = call.Tried;
  bool hasLast = result.End == AttemptEnd::Superseded && !tried.empty();
  if (tried.size() == MostAttemptLines)
    tried.erase(tried.end() - (hasLast ? 2 : 1));
  tried.insert(tried.end() - (hasLast ? 1 : 0), std::move(it));
}

/// Makes one attempt, here or at another node, which ends as CallerGone when
/// \p watch says so.
asio::awaitable<calls::AttemptResult>
CallEngine::attemptAt(OwnCall &call, const CallStep &step,
                      std::shared_ptr<ClientWatch> watch, Response &answer) {
  MeshCall mesh;
  mesh.CallId = call.Request.CallId;
  mesh.CallRank = step.CallRank;
  mesh.Remaining = std::min(step.Remaining, step.AttemptTimeout);
  mesh.LatencyObjective = step.LatencyObjective;
  mesh.Hops = call.Request.Hops;
  mesh.Attempt = step.Retry || call.Request.BelowRetry ? RetryAttempt : 1;
  mesh.ServiceName = step.ServiceName;
  if (step.What == CallStep::Kind::Send)
    mesh.TargetId = step.To.Target.TargetId;
  bool isLocal =
      step.What == CallStep::Kind::Send && step.To.Node == Environment.NodeId;
  if (!isLocal) {
    mesh.Remaining -= std::min(AnswerMargin, mesh.Remaining / MarginShare);
    co_return co_await sendToNode(call, step, mesh, std::move(watch), answer);
  }
  GateOutcome outcome =
      co_await Targets.run(std::move(mesh), call.Incoming.Message,
                           call.Request.Fingerprint, std::move(watch));
  answer = std::move(outcome.Answer);
  co_return outcome.Result;
}

/// Sends a call to another node's mesh listener and reads from its answer
/// whether it is the target's.
asio::awaitable<calls::AttemptResult>
CallEngine::sendToNode(OwnCall &call, const CallStep &step,
                       const MeshCall &mesh, std::shared_ptr<ClientWatch> watch,
                       Response &answer) {
  Request &request = call.Incoming.Message;
  frameForNextHop(request);
  ExchangePlan plan;
  plan.Server = step.To.Mesh;
  plan.Timeout = step.AttemptTimeout;
  plan.FreshConnection = step.FreshConnection;
  plan.Lines = meshLines(request, mesh, MeshAudience::Node, Keys);
  plan.IdField = Environment.Headers.RequestId;
  plan.ServerIsNode = true;
  ExchangeResult exchanged =
      co_await exchange(Pool, plan, request, std::move(watch));
  calls::AttemptResult result;
  result.End = exchanged.End;
  result.Latency = exchanged.Latency;
  if (exchanged.End == AttemptEnd::Answered) {
    answer = std::move(exchanged.Answer);
    readResult(answer, result);
  }
  co_return result;
}

} // namespace radishcross::http
