#include <LibCalls/Broker.h>

#include <LibCalls/BrokerState.h>

#include <algorithm>
#include <utility>

namespace radishcross::calls {

namespace {

using base::ResultCode;

/// Returns the time that a call may take: the route's deadline, limited by the
/// time that the parent call has left.
base::Duration allowedTime(const CallRequest &request,
                           const config::Route &route) {
  if (request.Remaining == base::Duration::zero())
    return route.Deadline;
  return std::min(request.Remaining, route.Deadline);
}

} // namespace

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
