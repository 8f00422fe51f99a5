#include <LibCalls/Broker.h>

#include <LibCalls/CallPlanner.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace radishcross::calls {

namespace {

using base::ResultCode;

CallStep refuse(ResultCode code, base::Duration retryAfter = {}) {
  CallStep out;
  out.Code = code;
  out.RetryAfter = retryAfter;
  return out;
}

/// Returns the time that a call may take: the route's, cut by what the call
/// above has left.
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
                recorder) {}

  struct OpenCall {
    config::SnapshotPointer Snapshot;
    CallStep Step;
  };

  CallStep plan(CallHandle call, const CallRequest &request,
                const config::SnapshotPointer &snapshot, base::TimePoint now) {
    if (request.Hops >= MaximumHops)
      return refuse(ResultCode::TooManyHops);
    if (!snapshot)
      return refuse(ResultCode::NotRecovered, std::chrono::seconds(1));
    const auto hit =
        snapshot->findRoute(request.Method, request.Host, request.Path);
    if (!hit.Matched)
      return refuse(ResultCode::NoRoute);
    if (Quarantined->blocks(request.Fingerprint, now))
      return refuse(ResultCode::Quarantined, Quarantine::QuarantineLifetime);
    const auto &route = *hit.Matched;
    RoutedCall routed;
    routed.ServiceName = hit.ServiceName;
    routed.CallRank = config::lowerOf(route.CallRank, request.ParentRank);
    routed.Allowed = allowedTime(request, route);
    routed.Idempotent = route.Idempotent;
    routed.BelowRetry = request.BelowRetry;
    routed.RetryBudgetPercent = hit.Destination->Limits.RetryBudgetPercent;
    return Planner.begin(call, routed, now);
  }

  BrokerSettings Settings;
  Quarantine *Quarantined;
  CallPlanner Planner;
  std::unordered_map<CallHandle, OpenCall> Open;
  CallHandle LastHandle = 0;
  Resumed OnResumed;
};

Broker::Broker(BrokerSettings settings, Quarantine &quarantine,
               trace::Recorder &recorder)
    : Held(std::make_unique<State>(std::move(settings), quarantine, recorder)) {
}

Broker::~Broker() = default;

CallHandle Broker::begin(const CallRequest &request,
                         config::SnapshotPointer snapshot,
                         base::TimePoint now) {
  const CallHandle call = ++Held->LastHandle;
  auto step = Held->plan(call, request, snapshot, now);
  Held->Open[call] = {std::move(snapshot), std::move(step)};
  return call;
}

CallStep Broker::step(CallHandle call) const {
  const auto it = Held->Open.find(call);
  return it == Held->Open.end() ? refuse(ResultCode::Internal)
                                : it->second.Step;
}

CallStep Broker::attemptEnded(CallHandle call, const AttemptResult &result,
                              base::TimePoint now) {
  const auto it = Held->Open.find(call);
  if (it == Held->Open.end())
    return refuse(ResultCode::Internal);
  it->second.Step = Held->Planner.attemptEnded(call, result, now);
  return it->second.Step;
}

void Broker::end(CallHandle call, base::TimePoint now) {
  Held->Planner.end(call, now);
  Held->Open.erase(call);
}

void Broker::keepAnswer(CallHandle, std::string &&, base::TimePoint) {}

std::string Broker::keptAnswer(CallHandle) const { return {}; }

void Broker::whenResumed(const Resumed &resumed) { Held->OnResumed = resumed; }

void Broker::membersChanged(const std::vector<fleet::Member> &members,
                            base::TimePoint now) {
  Held->Planner.membersChanged(members, now);
}

void Broker::drainedChanged(const std::vector<std::string> &drained,
                            base::TimePoint now) {
  Held->Planner.drainedChanged(drained, now);
}

void Broker::tick(base::TimePoint now) { Held->Planner.tick(now); }

} // namespace radishcross::calls
