#include <LibCalls/Broker.h>

#include <LibBase/Hash.h>
#include <LibCalls/CallPlanner.h>
#include <LibCalls/IdempotencyTable.h>
#include <LibCalls/KeyOwnership.h>
#include <LibCalls/TrafficSplitter.h>

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace radishcross::calls {

namespace {

using base::ResultCode;

using Ownership = KeyOwnership::Verdict::Kind;

/// Maximum length of an idempotency key, in bytes.
constexpr size_t MaximumKeyLength = 255;
/// Retry-after for refusals without one.
constexpr base::Duration DefaultRetryAfter = std::chrono::seconds(1);

CallStep finish(CallOutcome outcome, ResultCode code,
                base::Duration retryAfter = {}) {
  CallStep out;
  out.Outcome = outcome;
  out.Code = code;
  out.RetryAfter = retryAfter;
  return out;
}

CallStep refuse(ResultCode code, base::Duration retryAfter = {}) {
  return finish(CallOutcome::NotRun, code, retryAfter);
}

CallStep replay() {
  auto out = finish(CallOutcome::Answered, ResultCode::Ok);
  out.What = CallStep::Kind::Replay;
  return out;
}

/// Returns the time that a call may take: the route's deadline, limited by the
/// time that the parent call has left.
base::Duration allowedTime(const CallRequest &request,
                           const config::Route &route) {
  if (request.Remaining == base::Duration::zero())
    return route.Deadline;
  return std::min(request.Remaining, route.Deadline);
}

} // namespace

struct Broker::State {
  State(BrokerSettings settings, Quarantine &quarantine,
        trace::Recorder &recorder)
      : Settings(std::move(settings)), Quarantined(&quarantine),
        Planner({Settings.DataCentre, Settings.Region}, Settings.RandomSeed,
                recorder, Settings.Retries, Settings.Toggles),
        Keys(Settings.KeyWindow, recorder),
        Owners(Settings.Node, Settings.DataCentre, Settings.KeyWindow,
               recorder),
        Randomness(Settings.RandomSeed) {
    if (Settings.Versions)
      Planner.boundVersions(*Settings.Versions);
    if (Settings.Hedges != balance::HedgeSettings())
      Planner.limitHedges(Settings.Hedges);
  }

  struct OpenCall {
    config::SnapshotPointer Snapshot;
    CallStep Step;
    const config::Route *Matched = nullptr; ///< Of Snapshot.
    RoutedCall Route;
    base::TimePoint Deadline{};
    uint64_t Fingerprint = 0; ///< Of the request.
    std::string Key;          ///< Service, caller and idempotency key, if any.
    uint64_t KeyFingerprint = 0; ///< Of the request with Key, host included.
    bool IsFirst = false;        ///< Runs here as the first call of its key.
    /// Answer to be stored for the key, or stored answer to be replayed.
    std::optional<std::string> Answer;
  };

  std::optional<CallStep> route(OpenCall &call, const CallRequest &request,
                                TrafficSplitter &split, base::Random &random,
                                base::TimePoint now) const;
  CallStep plan(CallHandle handle, OpenCall &call, const CallRequest &request,
                base::TimePoint now);
  CallStep planKeyed(CallHandle handle, OpenCall &call,
                     const CallRequest &request, base::TimePoint now);
  CallStep runHere(CallHandle handle, OpenCall &call, base::TimePoint now);
  CallStep forward(const OpenCall &call, const KeyOwnership::Verdict &owner);
  CallStep afterForward(const AttemptResult &result);
  CallStep beginKey(CallHandle handle, OpenCall &call, base::TimePoint now);
  void beginKeyAgain(CallHandle handle, base::TimePoint now);
  void finishKey(OpenCall &call, base::TimePoint now);
  void resumeCall(CallHandle handle, CallStep step);
  void expireWaiters(base::TimePoint now);

  BrokerSettings Settings;
  Quarantine *Quarantined;
  CallPlanner Planner;
  IdempotencyTable Keys; ///< Before Owners: it records the trace's first entry.
  KeyOwnership Owners;
  TrafficSplitter TrafficSplit;
  base::Random Randomness;
  std::unordered_map<CallHandle, OpenCall> Open;
  std::set<CallHandle> Waiting;
  CallHandle LastHandle = 0;
  Resumed OnResumed;
};

/// Finds the route and the service of a call. Returns its refusal, if it is
/// refused for that.
std::optional<CallStep> Broker::State::route(OpenCall &call,
                                             const CallRequest &request,
                                             TrafficSplitter &split,
                                             base::Random &random,
                                             base::TimePoint now) const {
  const auto resolved =
      call.Snapshot
          ? call.Snapshot->findRoute(request.Method, request.Host, request.Path)
          : config::ResolvedRoute{};
  call.Matched = resolved.Matched;
  if (request.Hops >= MaximumHops)
    return refuse(ResultCode::TooManyHops);
  if (!call.Snapshot)
    return refuse(ResultCode::NotRecovered, DefaultRetryAfter);
  if (!resolved.Matched)
    return refuse(ResultCode::NoRoute);
  const auto &route = *resolved.Matched;
  auto &routed = call.Route;
  const auto &destination = split.choose(resolved, random);
  routed.ServiceName = *destination.ServiceName;
  call.Fingerprint = request.Fingerprint;
  if (Quarantined->blocks(request.Fingerprint, routed.ServiceName, now))
    return refuse(ResultCode::Quarantined, Quarantine::QuarantineLifetime);
  routed.CallRank = config::lessUrgentOf(
      request.TenantRank.value_or(route.CallRank), request.ParentRank);
  if (!Settings.Toggles.RanksEnabled)
    routed.CallRank = config::Rank::Standard;
  routed.Allowed = allowedTime(request, route);
  routed.Idempotent = route.Idempotent;
  routed.MaximumAttempts = route.MaximumAttempts;
  routed.RouteName = route.Name;
  routed.LatencyObjective = route.LatencyObjective;
  routed.WithinRetry = request.WithinRetry;
  routed.IsNested = request.Hops > 0;
  routed.RetryBudgetPercent =
      destination.ServiceDefinition->Limits.RetryBudgetPercent;
  call.Deadline = now + routed.Allowed;
  return std::nullopt;
}

CallStep Broker::State::plan(CallHandle handle, OpenCall &call,
                             const CallRequest &request, base::TimePoint now) {
  if (auto refused = route(call, request, TrafficSplit, Randomness, now))
    return *refused;
  // Idempotent calls may run twice anyway, so their keys are ignored.
  if (request.IdempotencyKey.empty() || call.Route.Idempotent)
    return Planner.begin(handle, call.Route, now);
  return planKeyed(handle, call, request, now);
}

CallStep Broker::State::planKeyed(CallHandle handle, OpenCall &call,
                                  const CallRequest &request,
                                  base::TimePoint now) {
  if (request.IdempotencyKey.size() > MaximumKeyLength)
    return refuse(ResultCode::BadRequest);
  if (call.Route.Allowed <= CallPlanner::HopMargin)
    return refuse(ResultCode::DeadlineExceeded);
  // A call must end before another node may become the owner of its key.
  call.Route.Allowed = std::min(call.Route.Allowed, Settings.KeyWindow / 2);
  call.Deadline = now + call.Route.Allowed;
  const auto owner = Owners.verdict(
      call.Route.ServiceName + "\n" + request.IdempotencyKey, now);
  if (owner.What == Ownership::Other && !request.FromMesh)
    return forward(call, owner);
  Keys.tick(now);
  const auto key = call.Route.ServiceName + "\n" + request.CallerService +
                   "\n" + request.Tenant + "\n" + request.IdempotencyKey;
  // A known key is answered from the table, even if this node may not run it.
  if (owner.What != Ownership::Own && !Keys.contains(key))
    return finish(CallOutcome::Unknown, ResultCode::IdempotencyOwnerLost,
                  std::max(owner.RetryAfter, DefaultRetryAfter));
  call.Key = key;
  call.KeyFingerprint = base::hash64(request.Host, request.Fingerprint);
  return beginKey(handle, call, now);
}

CallStep Broker::State::beginKey(CallHandle handle, OpenCall &call,
                                 base::TimePoint now) {
  CallStep out;
  switch (Keys.begin(call.Key, call.KeyFingerprint, handle, now)) {
  case KeyVerdict::Run:
    return runHere(handle, call, now);
  case KeyVerdict::Wait:
    Waiting.insert(handle);
    out.What = CallStep::Kind::Wait;
    return out;
  case KeyVerdict::Replay:
    call.Answer = Keys.answerOf(call.Key);
    return replay();
  case KeyVerdict::Mismatch:
    return refuse(ResultCode::IdempotencyMismatch);
  case KeyVerdict::Full:
    return refuse(ResultCode::Overloaded, DefaultRetryAfter);
  case KeyVerdict::Unknown:
    break;
  }
  return finish(CallOutcome::Unknown, ResultCode::CallOutcomeUnknown,
                Settings.KeyWindow);
}

CallStep Broker::State::runHere(CallHandle handle, OpenCall &call,
                                base::TimePoint now) {
  call.IsFirst = true;
  call.Step = Planner.begin(handle, call.Route, now);
  call.Step.StoreAnswer = call.Step.What == CallStep::Kind::Send;
  if (call.Step.What == CallStep::Kind::Finish)
    finishKey(call, now);
  return call.Step;
}

CallStep Broker::State::forward(const OpenCall &call,
                                const KeyOwnership::Verdict &owner) {
  CallStep out;
  out.What = CallStep::Kind::Forward;
  out.Attempt = 1;
  out.To.Node = owner.Node;
  out.To.DataCentre = Settings.DataCentre;
  out.To.Mesh = owner.Mesh;
  out.ServiceName = call.Route.ServiceName;
  out.CallRank = call.Route.CallRank;
  out.AttemptTimeout = call.Route.Allowed - CallPlanner::HopMargin;
  out.Remaining = out.AttemptTimeout;
  out.Retry = call.Route.WithinRetry;
  return out;
}

/// If the owner was lost, an earlier call of the key may have run there, even
/// if this one was not sent.
CallStep Broker::State::afterForward(const AttemptResult &result) {
  if (result.End == AttemptEnd::Answered)
    return finish(CallOutcome::Answered, ResultCode::Ok);
  if (result.End == AttemptEnd::RefusedNotRun)
    return refuse(result.Code, std::max(result.RetryAfter, DefaultRetryAfter));
  if (result.End == AttemptEnd::CallerGone)
    return finish(CallOutcome::Unknown, ResultCode::CallerGone);
  const auto code = result.Code == ResultCode::Ok
                        ? ResultCode::IdempotencyOwnerLost
                        : result.Code;
  return finish(CallOutcome::Unknown, code,
                std::max(result.RetryAfter, DefaultRetryAfter));
}

/// Begins a call that waited for a first one which its own client's key ended:
/// the first such runs, the others go on to wait.
void Broker::State::beginKeyAgain(CallHandle handle, base::TimePoint now) {
  const auto it = Open.find(handle);
  if (it == Open.end())
    return;
  auto &call = it->second;
  call.Route.Allowed = call.Deadline - now;
  auto step = beginKey(handle, call, now);
  if (step.What != CallStep::Kind::Wait)
    resumeCall(handle, std::move(step));
}

/// Finishes the key of a first call and resumes the calls that waited for it.
void Broker::State::finishKey(OpenCall &call, base::TimePoint now) {
  call.IsFirst = false;
  const auto end = call.Step;
  const auto waiters = Keys.finished(call.Key, end.Outcome, end.Code,
                                     std::move(call.Answer), now);
  const auto &stored = Keys.answerOf(call.Key);
  for (const auto it : waiters) {
    Waiting.erase(it);
    if (!stored.empty()) {
      Open[it].Answer = stored;
      resumeCall(it, replay());
      continue;
    }
    // A key that was taken away is its own client's, not that of the others.
    if (end.Outcome == CallOutcome::NotRun &&
        end.Code == ResultCode::KeyUnknown) {
      beginKeyAgain(it, now);
      continue;
    }
    const bool answerLost = end.Outcome == CallOutcome::Answered;
    resumeCall(it, answerLost ? finish(CallOutcome::Unknown,
                                       ResultCode::CallOutcomeUnknown)
                              : finish(end.Outcome, end.Code, end.RetryAfter));
  }
}

void Broker::State::resumeCall(CallHandle handle, CallStep step) {
  const auto it = Open.find(handle);
  if (it == Open.end())
    return;
  it->second.Step = std::move(step);
  if (OnResumed)
    OnResumed(handle, CallStep(it->second.Step));
}

/// Answers waiting calls whose own deadline passes while the first call runs.
void Broker::State::expireWaiters(base::TimePoint now) {
  std::vector<CallHandle> late;
  for (const auto it : Waiting)
    if (Open[it].Deadline - CallPlanner::HopMargin <= now)
      late.push_back(it);
  for (const auto it : late) {
    Waiting.erase(it);
    Keys.cancelWait(Open[it].Key, it, now);
    resumeCall(it, finish(CallOutcome::Unknown, ResultCode::CallOutcomeUnknown,
                          DefaultRetryAfter));
  }
}

Broker::Broker(BrokerSettings settings, Quarantine &quarantine,
               trace::Recorder &recorder)
    : Held(std::make_unique<State>(std::move(settings), quarantine, recorder)) {
}

Broker::~Broker() = default;

CallHandle Broker::begin(const CallRequest &request,
                         config::SnapshotPointer snapshot,
                         base::TimePoint now) {
  const CallHandle handle = ++Held->LastHandle;
  auto &call = Held->Open[handle];
  call.Snapshot = std::move(snapshot);
  call.Step = Held->plan(handle, call, request, now);
  call.Step.Matched = call.Matched;
  // Calls that end here are also counted and logged under their service.
  if (call.Step.ServiceName.empty() && !call.Route.ServiceName.empty()) {
    call.Step.ServiceName = call.Route.ServiceName;
    call.Step.CallRank = call.Route.CallRank;
  }
  return handle;
}

RoutePreview Broker::preview(const CallRequest &request,
                             const config::SnapshotPointer &snapshot,
                             base::TimePoint now) const {
  State::OpenCall call;
  call.Snapshot = snapshot;
  auto split = Held->TrafficSplit;
  auto random = Held->Randomness;
  RoutePreview out;
  const auto refused = Held->route(call, request, split, random, now);
  out.Matched = call.Matched;
  out.Call = call.Route;
  if (snapshot && call.Matched)
    out.Destinations =
        *snapshot->findRoute(request.Method, request.Host, request.Path)
             .Destinations;
  if (!call.Route.ServiceName.empty())
    out.Place = Held->Planner.preview(call.Route, now);
  out.Step = refused ? *refused : out.Place.Step;
  return out;
}

CallStep Broker::step(CallHandle call) const {
  const auto it = Held->Open.find(call);
  return it == Held->Open.end() ? refuse(ResultCode::Internal)
                                : it->second.Step;
}

CallStep Broker::attemptEnded(CallHandle handle, const AttemptResult &result,
                              base::TimePoint now) {
  const auto it = Held->Open.find(handle);
  if (it == Held->Open.end())
    return finish(CallOutcome::Unknown, ResultCode::Internal);
  auto &call = it->second;
  if (call.Step.What == CallStep::Kind::Forward) {
    call.Step = Held->afterForward(result);
    return call.Step;
  }
  call.Step = Held->Planner.attemptEnded(handle, result, now);
  call.Step.StoreAnswer =
      call.IsFirst && call.Step.What == CallStep::Kind::Send;
  if (call.IsFirst && call.Step.What == CallStep::Kind::Finish)
    Held->finishKey(call, now);
  return call.Step;
}

std::optional<CallStep> Broker::hedge(CallHandle handle, base::TimePoint now) {
  const auto it = Held->Open.find(handle);
  if (it != Held->Open.end() &&
      Held->Quarantined->blocks(it->second.Fingerprint,
                                it->second.Route.ServiceName, now))
    return std::nullopt;
  return Held->Planner.hedge(handle, now);
}

void Broker::end(CallHandle handle, base::TimePoint now) {
  const auto it = Held->Open.find(handle);
  if (it == Held->Open.end())
    return;
  Held->Planner.end(handle, now);
  auto &call = it->second;
  if (call.IsFirst) {
    call.Step = finish(CallOutcome::Unknown, ResultCode::CallerGone);
    Held->finishKey(call, now);
  }
  if (Held->Waiting.erase(handle) > 0)
    Held->Keys.cancelWait(call.Key, handle, now);
  Held->Open.erase(handle);
}

void Broker::storeAnswer(CallHandle handle, std::string &&answer,
                         base::TimePoint) {
  const auto it = Held->Open.find(handle);
  if (it != Held->Open.end() && it->second.IsFirst)
    it->second.Answer = std::move(answer);
}

std::string Broker::storedAnswer(CallHandle handle) const {
  const auto it = Held->Open.find(handle);
  return it == Held->Open.end() ? std::string()
                                : it->second.Answer.value_or(std::string());
}

void Broker::setOnResumed(const Resumed &resumed) { Held->OnResumed = resumed; }

void Broker::membersChanged(const std::vector<fleet::Member> &members,
                            base::TimePoint now) {
  Held->Planner.nodesChanged(
      std::count_if(members.begin(), members.end(),
                    [](const fleet::Member &it) {
                      return it.State == fleet::MemberState::Alive ||
                             it.State == fleet::MemberState::Suspect;
                    }),
      now);
  Held->Planner.membersChanged(members, now);
  Held->Owners.membersChanged(members, now);
}

void Broker::drainedChanged(const std::vector<std::string> &drained,
                            base::TimePoint now) {
  Held->Planner.drainedChanged(drained, now);
}

bool Broker::rolloutOrdered(const rollout::Order &order, base::TimePoint now) {
  return Held->Planner.rolloutOrdered(order, now);
}

bool Broker::rolloutLearned(const std::string &service,
                            const rollout::StoredProgress &progress,
                            base::Duration age, base::TimePoint now) {
  return Held->Planner.rolloutLearned(service, progress, age, now);
}

void Broker::rolloutHalted(const std::string &service, uint64_t orderAt,
                           base::TimePoint now) {
  Held->Planner.rolloutHalted(service, orderAt, now);
}

std::map<std::string, rollout::VersionGate, std::less<>> &
Broker::versionGates() {
  return Held->Planner.versionGates();
}

std::vector<CallPlanner::VersionCut> Broker::takeVersionCuts() {
  return Held->Planner.takeVersionCuts();
}

void Broker::assumeNoEarlierCalls(base::TimePoint now) {
  Held->Owners.assumeNoEarlierCalls(now);
}

std::map<std::string, balance::HedgeCounts> Broker::hedgeCounts() const {
  return Held->Planner.hedgeCounts();
}

std::vector<std::pair<std::string, int64_t>>
Broker::retriesLeft(base::TimePoint now) {
  return Held->Planner.retriesLeft(now);
}

void Broker::tick(base::TimePoint now) {
  Held->Planner.tick(now);
  Held->Owners.tick(now);
  Held->Keys.tick(now);
  Held->expireWaiters(now);
}

} // namespace radishcross::calls
