#include <LibHttp/CallEngine.h>

#include <LibBase/Hash.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/Answers.h>
#include <LibHttp/Framing.h>
#include <LibHttp/MeshCall.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
namespace bh = boost::beast::http;
using calls::AttemptEnd;
using calls::CallOutcome;
using calls::CallStep;

/// When a caller may come back to a node that cannot take its call now.
constexpr base::Duration ComeBackDelay = std::chrono::seconds(1);

uint64_t fingerprintOf(const Request &request) {
  uint64_t head = base::hash64(
      std::string_view(request.target().data(), request.target().size()),
      base::hash64(std::string(request.method_string())));
  return base::hash64(request.body(), head);
}

/// Makes \p answer fit to be sent on another connection.
void reframe(Response &answer, bh::verb method) {
  dropHopFields(answer);
  stripMeshFields(answer);
  answer.version(11);
  answer.keep_alive(true);
  if (answer.result() == bh::status::no_content)
    answer.content_length(boost::none);
  else if (method != bh::verb::head &&
           answer.result() != bh::status::not_modified)
    answer.content_length(answer.body().size());
}

std::string_view textOf(const Request &request, std::string_view name) {
  auto it = request.find(name);
  if (it == request.end())
    return {};
  return {it->value().data(), it->value().size()};
}

/// Ends a call at the broker on every way out.
class CallGuard {
public:
  CallGuard(calls::CallBroker &broker, const base::Clock &clock,
            calls::CallHandle call)
      : Broker(broker), Time(clock), Call(call) {}
  ~CallGuard() { Broker.end(Call, Time.now()); }
  CallGuard(const CallGuard &) = delete;
  CallGuard &operator=(const CallGuard &) = delete;

private:
  calls::CallBroker &Broker;
  const base::Clock &Time;
  calls::CallHandle Call;
};

} // namespace

CallEngine::CallEngine(CallProxyEnvironment environment)
    : Environment(std::move(environment)), Pool(*Environment.Context),
      Targets(Environment, Pool), Figures(*Environment.Counters),
      Ids(std::random_device()() ^ base::hash64(Environment.NodeId)) {}

void CallEngine::tick() {
  Targets.tick();
  Pool.tick(now());
  Environment.Counters->setGauge("proxy_idle_connections",
                                 static_cast<double>(Pool.idleCount()));
}

std::string CallEngine::newCallId() {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Ids.next()),
                static_cast<unsigned long long>(Ids.next()));
  return buf.data();
}

asio::awaitable<Response> CallEngine::handleCaller(IncomingRequest incoming) {
  Request &request = incoming.Message;
  calls::CallRequest call;
  base::LastReason reason;
  auto parent =
      readMeshCall(request, MeshAudience::Target, Environment.MeshKeys, reason);
  if (parent) {
    call.ParentRank = parent->CallRank;
    call.Hops = parent->Hops + 1;
    call.Remaining = parent->Remaining;
  } else if (RefusesNewCalls) {
    // Deeper calls of calls in flight are still taken; new ones are not.
    co_return makeAnswer(base::ResultCode::Draining, CallOutcome::NotRun, {},
                         ComeBackDelay);
  }
  stripMeshFields(request);
  dropHopFields(request);
  call.CallId = newCallId();
  co_return co_await runCall(std::move(call), std::move(incoming));
}

asio::awaitable<Response> CallEngine::handleMesh(IncomingRequest incoming) {
  base::LastReason reason;
  auto mesh = readMeshCall(incoming.Message, MeshAudience::Node,
                           Environment.MeshKeys, reason);
  if (!mesh) {
    Environment.Counters->counter("mesh_requests_refused_total") += 1;
    co_return makeAnswer(reason.code(), CallOutcome::NotRun, reason.text());
  }
  stripMeshFields(incoming.Message);
  dropHopFields(incoming.Message);
  if (!mesh->TargetId.empty())
    co_return co_await runAtGate(std::move(*mesh), std::move(incoming));
  calls::CallRequest call;
  call.CallId = mesh->CallId;
  call.FromMesh = true;
  call.ParentRank = mesh->CallRank;
  call.Hops = mesh->Hops;
  call.Remaining = mesh->Remaining;
  co_return co_await runCall(std::move(call), std::move(incoming));
}

/// Answers a call of another node with the target's answer or a refusal.
asio::awaitable<Response> CallEngine::runAtGate(MeshCall call,
                                                IncomingRequest incoming) {
  uint64_t fingerprint = fingerprintOf(incoming.Message);
  bh::verb method = incoming.Message.method();
  std::string targetId = call.TargetId;
  GateOutcome outcome = co_await Targets.run(std::move(call), incoming.Message,
                                             fingerprint, incoming.Watch);
  Response answer;
  if (outcome.Result.End == AttemptEnd::Answered) {
    answer = std::move(outcome.Answer);
    reframe(answer, method);
  } else {
    bool notRun = outcome.Result.End == AttemptEnd::NotSent ||
                  outcome.Result.End == AttemptEnd::RefusedNotRun;
    auto code = outcome.Result.Code == base::ResultCode::Ok
                    ? base::ResultCode::CallOutcomeUnknown
                    : outcome.Result.Code;
    answer =
        makeAnswer(code, notRun ? CallOutcome::NotRun : CallOutcome::Unknown,
                   {}, outcome.RetryAfter);
  }
  answer.set(calls::PressureHeader,
             std::to_string(Environment.Gate->pressurePermille(targetId)));
  co_return answer;
}

asio::awaitable<Response> CallEngine::runCall(calls::CallRequest call,
                                              IncomingRequest incoming) {
  config::SnapshotPointer snapshot = Environment.CurrentSnapshot();
  if (!snapshot)
    co_return makeAnswer(base::ResultCode::NotRecovered, CallOutcome::NotRun,
                         {}, ComeBackDelay);
  const Request &request = incoming.Message;
  call.Method = request.method_string();
  call.Host = textOf(request, "Host");
  call.Path = request.target();
  call.IdempotencyKey = textOf(request, calls::IdempotencyKeyHeader);
  call.Fingerprint = fingerprintOf(request);
  co_return co_await runSteps(call, incoming, std::move(snapshot));
}

/// Carries out the broker's steps for one call until its end.
asio::awaitable<Response>
CallEngine::runSteps(const calls::CallRequest &call, IncomingRequest &incoming,
                     config::SnapshotPointer snapshot) {
  base::TimePoint started = now();
  calls::CallHandle handle = Environment.Broker->begin(call, snapshot, started);
  CallGuard guard(*Environment.Broker, *Environment.Time, handle);
  CallStep step = Environment.Broker->step(handle);
  config::Rank rank = step.CallRank;
  Response answer;
  uint32_t attempts = 0;
  while (step.What == CallStep::Kind::Send ||
         step.What == CallStep::Kind::Forward) {
    calls::AttemptResult result =
        co_await attempt(call, step, attempts++, incoming, answer);
    step = Environment.Broker->attemptEnded(handle, result, now());
  }
  if (step.What != CallStep::Kind::Finish) {
    // FIXME: Answers of idempotency keys are not kept yet.
    step.Code = base::ResultCode::CallOutcomeUnknown;
    step.Outcome = CallOutcome::Unknown;
  }
  Figures.ended(rank, step.Outcome, now() - started);
  if (step.Outcome != CallOutcome::Answered)
    answer = makeAnswer(step.Code, step.Outcome, {}, step.RetryAfter);
  co_return answer;
}

asio::awaitable<calls::AttemptResult>
CallEngine::attempt(const calls::CallRequest &call, const CallStep &step,
                    uint32_t attempts, IncomingRequest &incoming,
                    Response &answer) {
  if (incoming.Watch->Gone)
    co_return calls::AttemptResult{
        AttemptEnd::CallerGone, base::ResultCode::CallerGone, 0, {}};
  MeshCall mesh;
  mesh.CallId = call.CallId;
  mesh.CallRank = step.CallRank;
  mesh.Remaining = std::min(step.Remaining, step.AttemptTimeout);
  mesh.Hops = call.Hops;
  mesh.Attempt = attempts;
  mesh.ServiceName = step.ServiceName;
  if (step.What == CallStep::Kind::Send)
    mesh.TargetId = step.To.Target.TargetId;
  bh::verb method = incoming.Message.method();
  calls::AttemptResult result;
  if (step.What == CallStep::Kind::Send && step.To.Node == Environment.NodeId) {
    GateOutcome outcome = co_await Targets.run(
        std::move(mesh), incoming.Message, call.Fingerprint, incoming.Watch);
    result = outcome.Result;
    answer = std::move(outcome.Answer);
  } else {
    result = co_await sendToNode(step, mesh, incoming, answer);
  }
  if (result.End == AttemptEnd::Answered)
    reframe(answer, method);
  co_return result;
}

/// Sends a call to another node's mesh listener and reads from its answer
/// whether it is the target's.
asio::awaitable<calls::AttemptResult>
CallEngine::sendToNode(const CallStep &step, const MeshCall &call,
                       IncomingRequest &incoming, Response &answer) {
  Request &request = incoming.Message;
  writeMeshCall(request, call, MeshAudience::Node,
                Environment.MeshKeys.front());
  request.version(11);
  request.keep_alive(true);
  request.content_length(request.body().size());
  ExchangePlan plan;
  plan.Server = step.To.Mesh;
  plan.Timeout = step.AttemptTimeout;
  plan.FreshConnection = step.FreshConnection;
  ExchangeResult exchanged =
      co_await exchange(Pool, *Environment.Time, plan, request, incoming.Watch);
  calls::AttemptResult result;
  result.End = exchanged.End;
  result.Latency = exchanged.Latency;
  if (exchanged.End != AttemptEnd::Answered)
    co_return result;
  answer = std::move(exchanged.Answer);
  auto number = [&](std::string_view name) {
    auto it = answer.find(name);
    return it == answer.end()
               ? 0U
               : static_cast<uint32_t>(std::strtoul(
                     std::string(it->value()).c_str(), nullptr, 10));
  };
  result.PressurePermille = number(calls::PressureHeader);
  result.Code = static_cast<base::ResultCode>(number(calls::CodeHeader));
  auto outcome = answer.find(calls::OutcomeHeader);
  if (outcome == answer.end())
    co_return result;
  bool notRun = outcome->value() ==
                base::nameOf(calls::CallOutcomeNames, CallOutcome::NotRun);
  result.End = notRun ? AttemptEnd::RefusedNotRun : AttemptEnd::Broken;
  co_return result;
}

} // namespace radishcross::http
