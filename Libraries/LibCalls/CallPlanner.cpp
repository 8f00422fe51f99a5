#include <LibCalls/CallPlanner.h>

#include <LibBalance/SpareTargets.h>
#include <LibBase/Hash.h>
#include <LibCalls/EndSteps.h>

#include <algorithm>
#include <utility>

namespace radishcross::calls {

namespace {

using base::Duration;
using base::ResultCode;

constexpr int64_t PermilleOfPercent = 10;
constexpr size_t MaximumNestedKinds = 64;
/// A retry needs at least the mean time of such calls divided by this.
constexpr int64_t TooLateDivisor = 2;
/// Value in traces for a ratio that is not set.
constexpr int64_t NoRatio = -1;

CallStep withStop(CallStep step, StopReason why) {
  step.Stop = why;
  return step;
}

/// Refusals that cost next to nothing and that other targets may not repeat;
/// such retries are not charged to the budget.
bool isFreeToRetry(const AttemptResult &result) {
  return result.End == AttemptEnd::NotSent ||
         result.Code == ResultCode::Draining ||
         result.Code == ResultCode::NoTarget ||
         result.Code == ResultCode::Overloaded;
}

/// Returns whether the attempt may have reached a target, which may also have
/// refused it. Calls refused by a target's node have not reached the target.
bool mayHaveReachedTarget(const AttemptResult &result) {
  return result.End != AttemptEnd::NotSent &&
         (result.End != AttemptEnd::RefusedNotRun ||
          result.Code == ResultCode::TargetRefused);
}

/// Refusals that every target would repeat.
bool isRefusedEverywhere(const AttemptResult &result) {
  return result.Code == ResultCode::Quarantined ||
         result.Code == ResultCode::DeadlineExceeded ||
         result.Code == ResultCode::TooManyHops ||
         result.Code == ResultCode::KeyUnknown ||
         result.Code == ResultCode::IdempotencyMismatch;
}

} // namespace

CallPlanner::CallPlanner(const balance::Locality &here, uint64_t randomSeed,
                         trace::Recorder &recorder, const RetryLimits &retries,
                         const balance::FeatureToggles &toggles)
    : Balancer(here, toggles), Randomness(randomSeed), Record(&recorder),
      GateSeed(randomSeed), Retries(retries) {
  recordEvent(CallPlanEvent::Start,
              {static_cast<int64_t>(randomSeed),
               retries.RatioPermille.value_or(NoRatio), retries.Window.count(),
               retries.Slack, toggles.HeadroomEnabled ? 0 : 1},
              here.DataCentre + "\n" + here.Region, {}, {});
}

CallStep CallPlanner::begin(CallHandle handle, const RoutedCall &call,
                            base::TimePoint now) {
  auto &planned = Calls[handle];
  planned.Route = call;
  planned.Deadline = now + call.Allowed;
  auto out = planFirst(planned, now);
  const int flags = (call.Idempotent ? 1 : 0) + (call.WithinRetry ? 2 : 0) +
                    (call.IsNested ? 4 : 0);
  recordEvent(CallPlanEvent::Begin,
              {static_cast<int64_t>(handle),
               static_cast<int64_t>(call.CallRank), call.Allowed.count(), flags,
               call.RetryBudgetPercent, call.LatencyObjective.count()},
              VersionBounds || LateHedges.isOn()
                  ? call.ServiceName + "\n" + call.RouteName
                  : call.ServiceName,
              outcomeOf(out), now);
  return out;
}

/// Only the gate's own answers tell; without one nothing changes.
void CallPlanner::learnNested(ServiceState &service, const RoutedCall &route,
                              const AttemptResult &result) {
  const bool isToldByGate = result.End == AttemptEnd::Answered ||
                            result.Code == ResultCode::Overloaded;
  if (!isToldByGate)
    return;
  const std::pair kind{route.CallRank, route.LatencyObjective};
  if (!result.IsNested)
    service.NestedKinds.erase(kind);
  else if (service.NestedKinds.size() < MaximumNestedKinds)
    service.NestedKinds.insert(kind);
}

bool CallPlanner::isNested(const ServiceState &service,
                           const RoutedCall &route) {
  return service.NestedKinds.contains({route.CallRank, route.LatencyObjective});
}

/// Returns the refusal of a call that is not sent to any target, if it is one.
std::optional<CallStep> CallPlanner::refusedAtOnce(ServiceState &service,
                                                   const RoutedCall &route,
                                                   base::TimePoint now,
                                                   base::Random &random) {
  if (route.Allowed <= HopMargin)
    return withStop(finish(CallOutcome::NotRun, ResultCode::DeadlineExceeded),
                    StopReason::NoTime);
  const auto rank = route.CallRank;
  // Shedding a nested call would lose the work above it, which the throttle
  // does not know.
  if (isNested(service, route) ||
      !service.Throttle.shouldShed(rank, now, random))
    return std::nullopt;
  return withStop(finish(CallOutcome::NotRun, ResultCode::Overloaded,
                         std::min(ClientThrottle::retryAfter(rank),
                                  route.Allowed / RetryAfterDivisor)),
                  StopReason::Shed);
}

CallStep CallPlanner::planFirst(PlannedCall &call, base::TimePoint now) {
  auto &service = stateOf(call);
  if (auto refused = refusedAtOnce(service, call.Route, now, Randomness))
    return *refused;
  service.Budget.called(Retries.RatioPermille.value_or(
                            call.Route.RetryBudgetPercent * PermilleOfPercent),
                        Retries.Window, now);
  auto out = send(call, false, now);
  if (out && LateHedges.isOn(call.Route.ServiceName))
    LateHedges.started(call.Route.ServiceName,
                       balance::SpareTargets::headroomPermille(
                           Table.usable(call.Route.ServiceName), now),
                       now);
  return out ? *out : noTarget();
}

CallStep CallPlanner::noTarget() {
  return withStop(
      finish(CallOutcome::NotRun, ResultCode::NoTarget, DefaultRetryAfter),
      StopReason::NoTarget);
}

CallStep CallPlanner::attemptEnded(CallHandle handle,
                                   const AttemptResult &result,
                                   base::TimePoint now) {
  if (result.Signals)
    signalled(handle, result.Attempt, *result.Signals, now);
  const auto it = Calls.find(handle);
  const auto attempt = it == Calls.end()
                           ? std::nullopt
                           : takeActiveAttempt(it->second, result.Attempt);
  if (!attempt)
    return finish(CallOutcome::Unknown, ResultCode::Internal);
  auto &call = it->second;
  recordAttempt(call, *attempt, result, now);
  learnNested(stateOf(call), call.Route, result);
  if (mayHaveReachedTarget(result))
    ++call.TargetArrivals;
  auto out = planNext(call, result, now);
  if (out.What == CallStep::Kind::Finish)
    settleWithOthers(call, *attempt, result, out, now);
  if (out.What == CallStep::Kind::Finish && result.End != AttemptEnd::Answered)
    out.RetriesLeft = stateOf(call).Budget.left(call.Route.CallRank, Retries,
                                                recentNodes(now), now);
  recordEvent(
      CallPlanEvent::AttemptEnded,
      {static_cast<int64_t>(handle),
       static_cast<int64_t>(result.End) + (result.DownstreamFailed ? 256 : 0) +
           int64_t{512} * result.Attempt + (result.TargetFailed ? 65'536 : 0) +
           (result.IsNested ? 131'072 : 0) +
           (result.Refusal == balance::RefusalKind::Spurious ? 262'144 : 0),
       static_cast<int64_t>(result.Code),
       result.PressurePermille +
           result.ExpectedTime.count() * PressuresPerMicrosecond,
       result.Latency.count(), result.RetryAfter.count()},
      {}, outcomeOf(out), now);
  return out;
}

/// Turns the last step of one attempt into that of the call: while another
/// attempt is in flight, only a successful answer or the caller's disconnect
/// ends the call.
void CallPlanner::settleWithOthers(PlannedCall &call,
                                   const ActiveAttempt &ended,
                                   const AttemptResult &result, CallStep &step,
                                   base::TimePoint now) {
  const bool isAnswered = result.End == AttemptEnd::Answered;
  const bool isGone = result.End == AttemptEnd::CallerGone;
  const bool isSuccess = isAnswered && !result.TargetFailed;
  if (!isSuccess && !isGone && !call.ActiveAttempts.empty()) {
    call.HasFailure = call.HasFailure || isAnswered;
    step.What = CallStep::Kind::Await;
  } else if (isAnswered) {
    dropActiveAttempts(call, ended.Attempt, now);
    settleLateHedge(call, ended.Attempt);
  } else if (call.HasFailure && !isGone) {
    step = withStop(finish(CallOutcome::Answered, ResultCode::Ok),
                    StopReason::Answered);
  }
}

CallStep CallPlanner::planNext(PlannedCall &call, const AttemptResult &result,
                               base::TimePoint now) {
  switch (result.End) {
  case AttemptEnd::Answered:
    return withStop(finish(CallOutcome::Answered, ResultCode::Ok),
                    StopReason::Answered);
  case AttemptEnd::NotSent:
  case AttemptEnd::RefusedNotRun:
    return afterRefusal(call, result, now);
  case AttemptEnd::Broken:
  case AttemptEnd::TimedOut:
    return afterUnknownOutcome(call, result, now);
  case AttemptEnd::CallerGone:
  case AttemptEnd::Superseded:
    break;
  }
  return withStop(finish(CallOutcome::Unknown, ResultCode::CallerGone),
                  StopReason::ClientGone);
}

/// The attempt was certainly not run, so any call may be sent to another
/// target.
CallStep CallPlanner::afterRefusal(PlannedCall &call,
                                   const AttemptResult &result,
                                   base::TimePoint now) {
  auto &service = stateOf(call);
  const bool isFree = isFreeToRetry(result);
  const bool used = call.HasFailure || isRacing(call) ||
                    call.Attempts >= MaximumAttempts ||
                    call.attemptsAtTargets() >= call.Route.MaximumAttempts;
  auto stop = isRefusedEverywhere(result) ? StopReason::Final
              : used                      ? StopReason::AttemptsUsed
              : isFree                    ? StopReason::None
                                          : retryRefusal(call, now);
  if (stop == StopReason::None) {
    if (auto out = send(call, true, now)) {
      if (!isFree)
        service.Budget.spend(Retries, now);
      return *out;
    }
    stop = call.Stop;
  }
  if (result.Code == ResultCode::Overloaded && !isNested(service, call.Route) &&
      !isRacing(call))
    service.Throttle.refused(call.Route.CallRank);
  // An earlier attempt of this call may have run although this one did not.
  if (call.MayHaveRun)
    return withStop(
        finish(CallOutcome::Unknown, ResultCode::CallOutcomeUnknown), stop);
  const auto code =
      result.Code == ResultCode::Ok ? ResultCode::NoTarget : result.Code;
  return withStop(finish(CallOutcome::NotRun, code,
                         result.RetryAfter > Duration::zero()
                             ? result.RetryAfter
                             : DefaultRetryAfter),
                  stop);
}

/// The attempt may have run, so only an idempotent call is retried, and once.
CallStep CallPlanner::afterUnknownOutcome(PlannedCall &call,
                                          const AttemptResult &result,
                                          base::TimePoint now) {
  call.MayHaveRun = true;
  auto stop = !call.Route.Idempotent    ? StopReason::NotRepeatable
              : result.DownstreamFailed ? StopReason::DownstreamFailed
              : call.Retried            ? StopReason::AttemptsUsed
                                        : retryRefusal(call, now);
  if (stop == StopReason::None) {
    if (auto out = send(call, true, now)) {
      stateOf(call).Budget.spend(Retries, now);
      call.Retried = true;
      return *out;
    }
    stop = call.Stop;
  }
  return withStop(finish(CallOutcome::Unknown, ResultCode::CallOutcomeUnknown),
                  stop);
}

/// Returns why a call may not have a retry that is charged to the budget, or
/// None.
StopReason CallPlanner::retryRefusal(const PlannedCall &call,
                                     base::TimePoint now) {
  if (call.Route.WithinRetry)
    return StopReason::WithinRetry;
  if (call.attemptsAtTargets() >= call.Route.MaximumAttempts)
    return StopReason::AttemptsUsed;
  if (isTooLate(call, now))
    return StopReason::NoTime;
  const bool available = stateOf(call).Budget.available(
      call.Route.CallRank, Retries, recentNodes(now), now);
  return available ? StopReason::None : StopReason::NoBudget;
}

/// Returns whether a further attempt could hardly end in time: the retry is
/// better spent on another call.
bool CallPlanner::isTooLate(const PlannedCall &call, base::TimePoint now) {
  const auto mean = stateOf(call).Times.mean(
      {call.Route.CallRank, call.Route.LatencyObjective});
  return mean && call.Deadline - now - HopMargin < *mean / TooLateDivisor;
}

std::optional<CallStep> CallPlanner::send(PlannedCall &call, bool retry,
                                          base::TimePoint now) {
  const auto timeout = call.Deadline - now - HopMargin;
  call.Stop = StopReason::NoTime;
  if (timeout <= Duration::zero())
    return std::nullopt;
  boost::container::static_vector<uint64_t, MaximumAttempts + 1> excluded;
  for (const auto &it : call.ActiveAttempts)
    excluded.push_back(it.Target);
  if (call.LastTarget != 0)
    excluded.push_back(call.LastTarget);
  auto *target = chooseTarget(call, excluded, now);
  call.Stop = StopReason::NoOtherTarget;
  if (!target)
    return std::nullopt;
  return sendTo(call, *target, retry, now);
}

CallStep CallPlanner::sendTo(PlannedCall &call, balance::KnownTarget &target,
                             bool retry, base::TimePoint now) {
  const auto timeout = call.Deadline - now - HopMargin;
  const auto basis = basisOf(Table.usable(call.Route.ServiceName), target, now);
  ++target.InFlight;
  target.Path->sent(now);
  call.LastTarget = target.Id;
  call.ActiveAttempts.push_back(
      {++call.Attempts, target.Id, target.Path->isSuspect(), timeout, now,
       target.Candidate.Target.Epoch, target.Speed.permille(now)});
  const auto hedgeAt = hedgeAfter(call, retry, now);
  if (call.ActiveAttempts.size() == 1)
    call.HedgeAfter = hedgeAt;

  CallStep out;
  out.What = CallStep::Kind::Send;
  out.To = target.Candidate;
  out.ServiceName = call.Route.ServiceName;
  out.CallRank = call.Route.CallRank;
  out.AttemptTimeout = timeout;
  out.Attempt = call.Attempts;
  const auto late = lateAfter(call, retry, now);
  out.HedgeAfter = late > Duration::zero() && hedgeAt > Duration::zero()
                       ? std::min(late, hedgeAt)
                       : std::max(late, hedgeAt);
  out.Remaining = timeout;
  out.LatencyObjective = call.Route.LatencyObjective;
  out.StatedRate = target.Stated.rate();
  out.CanGoElsewhere =
      call.Attempts < MaximumAttempts &&
      balance::LoadBalancer::hasOther(Table.usable(call.Route.ServiceName),
                                      call.LastTarget, now);
  out.FreshConnection = call.ActiveAttempts.back().OnNewConnection;
  out.Retry = retry || call.Route.WithinRetry;
  out.Basis = basis;
  return out;
}

ChoiceBasis CallPlanner::basisOf(const balance::TargetTable::Targets &targets,
                                 const balance::KnownTarget &chosen,
                                 base::TimePoint now) {
  ChoiceBasis out;
  out.Candidates = static_cast<uint32_t>(targets.size());
  for (const auto *it : targets)
    out.LeftOut += it->Health.ejected() ? 1 : 0;
  out.InFlight = chosen.InFlight;
  out.LoadPermille = chosen.Load.current(now);
  out.TimePermille = chosen.Speed.permille(now);
  out.Suspect = chosen.Suspect;
  out.KnownAge = chosen.Load.age(now);
  return out;
}

void CallPlanner::end(CallHandle handle, base::TimePoint now) {
  const auto it = Calls.find(handle);
  if (it == Calls.end())
    return;
  dropActiveAttempts(it->second, 0, now);
  settleLateHedge(it->second, 0);
  Calls.erase(it);
  recordEvent(CallPlanEvent::End, {static_cast<int64_t>(handle)}, {}, {}, now);
}

trace::Outcome CallPlanner::outcomeOf(const CallStep &step) {
  const auto code = static_cast<int64_t>(step.Code);
  const auto kindAndOutcome =
      static_cast<int64_t>(step.What) * 10 + static_cast<int64_t>(step.Outcome);
  const auto node = step.To.Node.empty() ? 0 : base::hash64(step.To.Node);
  return {kindAndOutcome * 10'000 + code, static_cast<int64_t>(node),
          (step.HedgeAfter > Duration::zero() ? step.HedgeAfter
                                              : step.AttemptTimeout)
              .count(),
          step.RetryAfter.count()};
}

void CallPlanner::recordEvent(CallPlanEvent::Value event,
                              const trace::Inputs &numbers, std::string text,
                              const trace::Outcome &decided,
                              base::TimePoint now) {
  trace::Entry entry;
  entry.AtMicroseconds = now.time_since_epoch().count();
  entry.Source = trace::Module::CallPlan;
  entry.Event = event;
  entry.Numbers = numbers;
  entry.Text = std::move(text);
  entry.Decided = decided;
  Record->record(std::move(entry));
}

CallPlanner::ServiceState &CallPlanner::stateOf(const PlannedCall &call) {
  return Services[call.Route.ServiceName];
}

} // namespace radishcross::calls
