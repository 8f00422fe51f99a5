#include <LibHttp/CallEngine.h>

#include <LibBase/Hash.h>
#include <LibBase/Logger.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/CallLog.h>
#include <LibHttp/Framing.h>
#include <LibHttp/MeshCall.h>
#include <LibHttp/ResponseFields.h>
#include <LibHttp/Responses.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdio>
#include <random>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
namespace bh = boost::beast::http;
using calls::AttemptEnd;
using calls::CallOutcome;
using calls::CallStep;

/// Retry-After of a node that cannot take calls now.
constexpr base::Duration RetryAfterDelay = std::chrono::seconds(1);
/// Reported to the broker for a deadline that has passed.
constexpr base::Duration ExpiredDeadline{-1};

/// Deadlines of more than a day are ignored.
constexpr int64_t MaxDeadlineMs = 86'400'000;

/// Returns the hash of caller, method, path and body: two requests with the
/// same one are the same to the targets of a service.
uint64_t fingerprintOf(const Request &request,
                       const calls::CallHeaders &headers) {
  uint64_t out = 0;
  for (std::string_view it :
       {fieldOf(request, headers.CallerService),
        std::string_view(request.method_string()),
        std::string_view(request.target()), std::string_view(request.body())})
    out = base::hash64(it, out);
  return out;
}

/// Returns the deadline stated by a caller, or 0 if there is none.
base::Duration deadlineOf(const Request &request, const std::string &name) {
  std::string_view text = fieldOf(request, name);
  int64_t ms = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (text.empty() || ec != std::errc() || end != text.data() + text.size() ||
      ms > MaxDeadlineMs)
    return {};
  return ms > 0 ? base::Duration(std::chrono::milliseconds(ms))
                : ExpiredDeadline;
}

/// Ends a call at the broker on every return path.
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
      Pool(*Environment.Context),
      LocalGate(Environment, Pool, Keys, CallTotals),
      CallTotals(*Environment.Counters),
      IdGenerator(std::random_device()() ^ base::hash64(Environment.NodeId)) {
  Pool.setOnRestLimit([this](const base::Address &server, base::Duration rest,
                             base::Duration limit) {
    Environment.Counters->counter("rest_limits_learnt_total") += 1;
    base::log(base::LogLevel::Warning, "connection lost after a rest",
              {{"server", server.text()},
               {"rested_ms", formatMilliseconds(rest)},
               {"limit_ms", formatMilliseconds(limit)}});
  });
  Pool.setLedger(Environment.Memory);
  Environment.Broker->setOnResumed(
      [this](calls::CallHandle call, const CallStep &step) {
        resume(call, step);
      });
}

void CallEngine::detach() {
  Environment.Broker->setOnResumed({});
  Environment.Broker = &StoppedBroker;
  Environment.Gate = &StoppedGate;
  Environment.Time = &FallbackClock;
  Environment.Counters = &DiscardedMetrics;
  Environment.CurrentSnapshot = [] { return config::SnapshotPointer(); };
  Allotments = nullptr;
  Environment.OnTargetLeaving = nullptr;
  Environment.LocalTarget = [](const std::string &) {
    return std::optional<fleet::TargetRecord>();
  };
  CallTotals = CallMetrics(DiscardedMetrics);
}

void CallEngine::tick() {
  Hedges.tick(now());
  LocalGate.tick();
  Pool.tick(FallbackClock.now());
}

std::string CallEngine::newCallId() {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(IdGenerator.next()),
                static_cast<unsigned long long>(IdGenerator.next()));
  return buf.data();
}

asio::awaitable<Response> CallEngine::handleCaller(IncomingRequest incoming) {
  BrokeredCall call;
  base::LastReason reason;
  // Without mesh keys a target cannot prove that its call is nested.
  auto parent = Keys.empty() ? std::nullopt
                             : readMeshCall(incoming.Message,
                                            MeshAudience::Target, Keys, reason);
  // Whoever learns of a proof may send it again, so it opens nothing once its
  // call has ended.
  auto who =
      identify(incoming.Message, parent && LocalGate.isActive(parent->CallId));
  call.Request.Remaining =
      deadlineOf(incoming.Message, Environment.Headers.Deadline);
  // Whatever else is wrong with the node, a missing key is told first.
  if (who.What == tenants::Identity::Kind::Unknown) {
    call.Incoming = std::move(incoming);
    co_return refuse(call, base::ResultCode::KeyUnknown, {});
  }
  // Without a proof, nested calls of a target look like any others; calls with
  // short deadlines are therefore still accepted.
  auto remaining = call.Request.Remaining;
  bool isShort = remaining.count() > 0 && LocalGate.canFinish(remaining);
  if (!parent && RefusesLongCalls && !isShort) {
    call.Incoming = std::move(incoming);
    co_return refuse(call, base::ResultCode::Draining, RetryAfterDelay);
  }
  if (parent) {
    remaining =
        LocalGate.remainingOf(parent->CallId).value_or(parent->Remaining);
    call.Request.ParentRank = parent->CallRank;
    call.Request.Hops = parent->Hops + 1;
    call.Request.Remaining =
        remaining.count() > 0 ? remaining : ExpiredDeadline;
    call.Request.WithinRetry = parent->Attempt >= RetryAttempt;
    call.ParentId = std::move(parent->CallId);
  }
  stripMeshFields(incoming.Message);
  removeHopByHopFields(incoming.Message);
  setOwnFields(incoming.Message);
  if (who.Asker)
    incoming.Message.set(Environment.Headers.Tenant, who.Asker->Name);
  call.Request.CallId = newCallId();
  call.Incoming = std::move(incoming);
  if (who.Asker) {
    call.Request.Tenant = who.Asker->Name;
    call.Request.TenantRank = who.Asker->CallRank;
    call.KeyHash = std::move(who.KeyHash);
    // The tenant's record may be gone after the wait.
    uint32_t ratePerSecond = who.Asker->RatePerSecond;
    base::TimePoint asked = now();
    auto verdict = co_await takeToken(call, ratePerSecond);
    if (call.Request.Remaining > base::Duration::zero())
      call.Request.Remaining =
          std::max(call.Request.Remaining - (now() - asked), ExpiredDeadline);
    if (call.Incoming.Watch->Gone) {
      returnToken(call);
      co_return refuse(call, base::ResultCode::CallerGone, {});
    }
    if (!verdict.IsGranted)
      co_return refuse(call, base::ResultCode::AllotmentSpent,
                       verdict.RetryAfter);
  }
  co_return co_await runCall(std::move(call));
}

/// Removes the key from a request, so that it goes no further than this node,
/// and replaces whatever the request says of its tenant.
tenants::Identity CallEngine::identify(Request &request, bool isNested) {
  const auto &names = Environment.Headers;
  std::string key(request.count(names.Key) == 1 ? fieldOf(request, names.Key)
                                                : std::string_view());
  request.erase(names.Key);
  request.erase(names.Tenant);
  auto snapshot = Environment.CurrentSnapshot();
  Tenants.update(snapshot);
  if (!snapshot || !Tenants.hasTenants() || isNested)
    return {};
  auto method = request.method_string();
  auto target = request.target();
  auto route = snapshot->findRoute({method.data(), method.size()},
                                   fieldOf(request, "Host"),
                                   {target.data(), target.size()});
  // Without a route there is nothing that a key could open.
  if (!route.Matched)
    return {};
  return Tenants.identify(key, route.Matched->IsPublic);
}

/// Takes a token of the tenant's allotment, and waits for one that is being
/// asked for; without one the call is refused.
asio::awaitable<tenants::AllotmentVerdict>
CallEngine::takeToken(BrokeredCall &call, uint32_t ratePerSecond) {
  if (!Allotments || ratePerSecond == 0)
    co_return tenants::AllotmentVerdict();
  auto verdict = Allotments->take(call.Request.Tenant, now());
  if (verdict.IsAsking)
    verdict = co_await awaitToken(call, verdict);
  call.HoldsToken = verdict.IsGranted;
  if (!call.Incoming.Watch->Gone)
    CallTotals.tenantAsked(Tenants.labelOf(call.Request.Tenant),
                           verdict.IsGranted);
  else if (!verdict.IsGranted && Allotments)
    Allotments->leave(call.Request.Tenant);
  co_return verdict;
}

/// Looks for a token whenever some have arrived, until \ref
/// AllotmentPort::AskTime has passed or the caller disconnects.
asio::awaitable<tenants::AllotmentVerdict>
CallEngine::awaitToken(const BrokeredCall &call,
                       tenants::AllotmentVerdict verdict) {
  auto longest = tenants::AllotmentPort::AskTime;
  if (call.Request.Remaining > base::Duration::zero())
    longest = std::min(longest, call.Request.Remaining / 2);
  asio::steady_timer wake(*Environment.Context, longest);
  const auto &watch = call.Incoming.Watch;
  bool isLate = false;
  TokenWaiters::Entry entry(*WaitingForTokens, call.Request.Tenant, wake);
  while (verdict.IsAsking && !isLate && !watch->Gone) {
    watch->OnGone = [&wake] { wake.cancel(); };
    boost::system::error_code ec;
    co_await wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    watch->OnGone = nullptr;
    isLate = !ec;
    if (!Allotments)
      co_return tenants::AllotmentVerdict{false, RetryAfterDelay, false};
    if (!watch->Gone)
      verdict = Allotments->retake(call.Request.Tenant, now());
  }
  co_return verdict;
}

void CallEngine::returnToken(const BrokeredCall &call) {
  if (call.HoldsToken && Allotments)
    Allotments->giveBack(call.Request.Tenant, now());
}

/// Returns whether a newer version has taken the call's key away.
bool CallEngine::isKeyRevoked(const BrokeredCall &call) {
  if (call.KeyHash.empty())
    return false;
  Tenants.update(Environment.CurrentSnapshot());
  return !Tenants.holds(call.KeyHash);
}

/// Refuses a call before it is planned.
Response CallEngine::refuse(const BrokeredCall &call, base::ResultCode code,
                            base::Duration retryAfter) {
  CallStep refused;
  refused.Code = code;
  refused.RetryAfter = retryAfter;
  ended(call, nullptr, refused, {});
  return makeErrorResponse(code, CallOutcome::NotRun, {}, retryAfter);
}

/// Removes fields that a caller may not set and adds the name of the calling
/// service.
void CallEngine::setOwnFields(Request &request) const {
  const auto &names = Environment.Headers;
  request.erase(names.Deadline);
  request.erase(names.ExpectedTarget);
  request.erase(names.CallerService);
  if (!Environment.LocalService.empty())
    request.set(names.CallerService, Environment.LocalService);
}

/// Echoes the request id, by which the other node matches the response.
asio::awaitable<Response> CallEngine::handleMesh(IncomingRequest incoming) {
  std::string id(fieldOf(incoming.Message, Environment.Headers.RequestId));
  Response response = co_await handleNodeRequest(std::move(incoming));
  if (!id.empty())
    response.set(Environment.Headers.RequestId, id);
  co_return response;
}

asio::awaitable<Response>
CallEngine::handleNodeRequest(IncomingRequest incoming) {
  base::LastReason reason;
  auto mesh = readMeshCall(incoming.Message, MeshAudience::Node, Keys, reason);
  if (!mesh) {
    Environment.Counters->counter("mesh_requests_refused_total") += 1;
    co_return makeErrorResponse(reason.code(), CallOutcome::NotRun,
                                reason.text());
  }
  stripMeshFields(incoming.Message);
  removeHopByHopFields(incoming.Message);
  if (!mesh->TargetId.empty())
    co_return co_await runAtGate(std::move(*mesh), std::move(incoming));
  BrokeredCall call;
  call.Request.CallId = std::move(mesh->CallId);
  call.Request.FromMesh = true;
  call.Request.ParentRank = mesh->CallRank;
  call.Request.Hops = mesh->Hops;
  call.Request.Remaining =
      mesh->Remaining.count() > 0 ? mesh->Remaining : ExpiredDeadline;
  call.Request.WithinRetry = mesh->Attempt >= RetryAttempt;
  call.Request.Tenant = fieldOf(incoming.Message, Environment.Headers.Tenant);
  Tenants.update(Environment.CurrentSnapshot());
  // A key that this node doesn't know may be of a version that it has yet to
  // learn; one that it knows is looked up again before each attempt.
  if (Tenants.holds(mesh->KeyHash))
    call.KeyHash = std::move(mesh->KeyHash);
  if (const auto *tenant = Tenants.find(call.Request.Tenant))
    call.Request.TenantRank = tenant->CallRank;
  call.Incoming = std::move(incoming);
  co_return co_await runCall(std::move(call));
}

/// Answers another node's call with the target's response or a refusal.
asio::awaitable<Response> CallEngine::runAtGate(MeshCall call,
                                                IncomingRequest incoming) {
  uint64_t fingerprint = fingerprintOf(incoming.Message, Environment.Headers);
  bh::verb method = incoming.Message.method();
  GateOutcome outcome =
      co_await LocalGate.run(std::move(call), incoming.Message, fingerprint,
                             incoming.Watch, AnswerPath());
  Response response;
  if (outcome.Result.End == AttemptEnd::Answered) {
    response = std::move(outcome.HttpResponse);
    prepareForNextHop(response, method);
  } else {
    response = makeRefusalResponse(outcome.Result, Environment.Headers);
  }
  response.set(calls::PressureHeader, pressureText(outcome.Result));
  if (outcome.Result.DownstreamFailed)
    response.set(calls::AttemptHeader, FailureBelowValue);
  co_return response;
}

asio::awaitable<Response> CallEngine::runCall(BrokeredCall call) {
  config::SnapshotPointer snapshot = Environment.CurrentSnapshot();
  if (!snapshot) {
    returnToken(call);
    co_return refuse(call, base::ResultCode::NotRecovered, RetryAfterDelay);
  }
  const Request &request = call.Incoming.Message;
  call.Request.Method = request.method_string();
  call.Request.Host = fieldOf(request, "Host");
  call.Request.Path = request.target();
  call.Request.IdempotencyKey = fieldOf(request, calls::IdempotencyKeyHeader);
  call.Request.CallerService =
      fieldOf(request, Environment.Headers.CallerService);
  call.Request.Fingerprint = fingerprintOf(request, Environment.Headers);
  base::TimePoint started = now();
  call.Handle = Environment.Broker->begin(call.Request, snapshot, started);
  CallGuard guard(Environment, call.Handle);
  CallStep first = Environment.Broker->step(call.Handle);
  call.Matched = first.Matched;
  call.ServiceName = first.ServiceName;
  call.CallRank = first.CallRank;
  CallStep last = co_await runSteps(call, first);
  ended(call, snapshot.get(), last, now() - started);
  // A stored answer counts as a request, a call that was never sent does not.
  if (last.Outcome == CallOutcome::NotRun ||
      (last.Outcome == CallOutcome::Unknown && !call.WasSent))
    returnToken(call);
  bool answered = last.Outcome == CallOutcome::Answered;
  if (!call.ParentId.empty() && (!answered || call.DownstreamFailed))
    LocalGate.noteFailureBelow(call.ParentId);
  if (!answered)
    call.HttpResponse =
        makeErrorResponse(last.Code, last.Outcome, {}, last.RetryAfter);
  else if (call.HttpResponse.Rest)
    noteRestEnd(call);
  co_return std::move(call.HttpResponse);
}

/// Executes the broker's steps until the call's final one.
asio::awaitable<CallStep> CallEngine::runSteps(BrokeredCall &call,
                                               CallStep step) {
  while (step.What != CallStep::Kind::Finish) {
    if (step.What == CallStep::Kind::Replay && isKeyRevoked(call)) {
      step.What = CallStep::Kind::Finish;
      step.Outcome = CallOutcome::Unknown;
      step.Code = base::ResultCode::KeyUnknown;
    } else if (step.What == CallStep::Kind::Replay) {
      replay(call, step);
    } else if (step.What == CallStep::Kind::Wait) {
      step = co_await awaitDuplicateCall(call);
    } else if (step.HedgeAfter > base::Duration::zero()) {
      step = co_await raceAttempts(call, step);
    } else {
      step = co_await runAttempt(call, step, call.Incoming.Watch, nullptr);
    }
  }
  co_return step;
}

} // namespace radishcross::http
