#include <LibCalls/CallPlanner.h>

#include <algorithm>

namespace radishcross::calls {

namespace {

using base::Duration;
using base::ResultCode;

/// Load assumed for a target that refuses calls as overloaded.
constexpr uint32_t FullPermille = 1000;

} // namespace

/// The first attempt continues: its target may be running the call, and the
/// hedged attempt may be refused.
std::optional<CallStep> CallPlanner::hedge(CallHandle handle,
                                           base::TimePoint now) {
  const auto it = Calls.find(handle);
  if (it == Calls.end())
    return std::nullopt;
  auto &call = it->second;
  std::optional<CallStep> out;
  if (!isSilenceDue(call, now)) {
    out = hedgeLate(call, now);
  } else if (mayHedge(call, now)) {
    out = send(call, true, now);
    if (out)
      out->Hedge = HedgeCause::Silent;
  }
  if (out) {
    stateOf(call).Budget.spend(Retries, now);
    call.Retried = true;
  }
  recordEvent(CallPlanEvent::Hedge, {static_cast<int64_t>(handle)}, {},
              out ? outcomeOf(*out) : trace::Outcome{}, now);
  return out;
}

/// Returns whether a hedged attempt may start and enough time is left for it.
bool CallPlanner::mayHedge(const PlannedCall &call, base::TimePoint now) {
  if (call.ActiveAttempts.size() != 1 || call.HedgeAfter <= Duration::zero() ||
      call.Retried)
    return false;
  const auto left = call.Deadline - now - HopMargin;
  return left >= balance::HedgeDelay::minimumRemaining(call.HedgeAfter) &&
         retryRefusal(call, now) == StopReason::None;
}

/// Returns the delay after which a hedged attempt may start; 0: never. Only the
/// first attempt of a call that may be retried is hedged.
Duration CallPlanner::hedgeAfter(const PlannedCall &call, bool retry,
                                 base::TimePoint now) {
  const bool another = Table.usable(call.Route.ServiceName).size() > 1;
  if (!call.Route.Idempotent || retry || !another ||
      retryRefusal(call, now) != StopReason::None)
    return {};
  return stateOf(call).Hedging.delay(call.ActiveAttempts.back().Timeout);
}

/// Returns an attempt in flight, or null; number 0: the oldest.
CallPlanner::ActiveAttempt *
CallPlanner::findActiveAttempt(PlannedCall &call, uint32_t attemptNumber) {
  auto &activeAttempts = call.ActiveAttempts;
  const auto it =
      std::find_if(activeAttempts.begin(), activeAttempts.end(),
                   [attemptNumber](const auto &one) {
                     return attemptNumber == 0 || one.Attempt == attemptNumber;
                   });
  return it == activeAttempts.end() ? nullptr : &*it;
}

/// Removes and returns an attempt in flight; number 0: the oldest.
std::optional<CallPlanner::ActiveAttempt>
CallPlanner::takeActiveAttempt(PlannedCall &call, uint32_t attemptNumber) {
  auto *it = findActiveAttempt(call, attemptNumber);
  if (!it)
    return std::nullopt;
  const auto out = *it;
  call.ActiveAttempts.erase(call.ActiveAttempts.begin() +
                            (it - call.ActiveAttempts.data()));
  return out;
}

void CallPlanner::signalled(CallHandle handle, uint32_t attemptNumber,
                            const balance::TargetSignals &signals,
                            base::TimePoint now) {
  const auto it = Calls.find(handle);
  const auto *attempt = it == Calls.end()
                            ? nullptr
                            : findActiveAttempt(it->second, attemptNumber);
  auto *target = attempt ? Table.find(attempt->Target) : nullptr;
  if (!target || target->Candidate.Target.Epoch != attempt->Epoch)
    return;
  const bool isNews = signals.RateLimit || target->Stated.rate() ||
                      (signals.IsLeaving && !target->IsLeaving);
  target->Stated.answered(signals, attempt->SentAt, now);
  if (signals.IsLeaving)
    Table.leaving(*target);
  if (isNews)
    recordEvent(CallPlanEvent::Signalled,
                {static_cast<int64_t>(handle), attemptNumber,
                 balance::flagsOf(signals), signals.RateLimit.value_or(0)},
                {}, {}, now);
}

/// Drops the attempts in flight, with \p answered the number of the one that
/// was answered (0: none was).
void CallPlanner::dropActiveAttempts(PlannedCall &call, uint32_t answered,
                                     base::TimePoint now) {
  for (const auto &it : call.ActiveAttempts) {
    AttemptResult dropped;
    dropped.End = dropAs(call, it, answered, now);
    recordAttempt(call, it, dropped, now);
  }
  call.ActiveAttempts.clear();
}

/// Updates the state of target, path and service with the end of an attempt.
void CallPlanner::recordAttempt(const PlannedCall &call,
                                const ActiveAttempt &attempt,
                                const AttemptResult &result,
                                base::TimePoint now) {
  auto *target = Table.find(attempt.Target);
  if (!target)
    return;
  target->InFlight -= target->InFlight > 0 ? 1 : 0;
  noteVersionAnswer(call, attempt, *target, result, now);
  noteAnswerTime(call, attempt, result, now);
  // This node refuses an attempt whose key was taken away: the target's node
  // has said nothing.
  const bool isOwnRefusal = result.Code == ResultCode::KeyUnknown;
  const bool hasReply =
      result.End == AttemptEnd::Answered ||
      (result.End == AttemptEnd::RefusedNotRun && !isOwnRefusal);
  const bool wasSilent = result.End == AttemptEnd::TimedOut ||
                         result.End == AttemptEnd::Superseded;
  if (hasReply)
    target->Path->answered(attempt.OnNewConnection, now);
  else
    target->Path->unanswered(wasSilent);
  if (result.Code == ResultCode::Overloaded)
    target->Load.observed(FullPermille, now);
  // Its slow start already counts that it is slow then.
  if (result.ExpectedTime > Duration::zero() && !target->isWarmingUp(now))
    target->Speed.observed(
        stateOf(call).Times.observed(
            {call.Route.CallRank, call.Route.LatencyObjective},
            result.ExpectedTime),
        now);
  if (result.End == AttemptEnd::Answered) {
    target->Load.observed(result.PressurePermille, now);
    target->Health.succeeded();
    target->Refusals.answered();
    target->RefusedShare.answered(now);
    stateOf(call).Hedging.observed(result.Latency);
  } else if (result.End == AttemptEnd::NotSent) {
    target->Health.unreachable(now);
  } else if (!hasReply && !isOwnRefusal &&
             result.End != AttemptEnd::CallerGone) {
    target->Health.failed(now);
  }
  if (result.Code == ResultCode::TargetRefused) {
    target->RefusedShare.refused(now);
    if (result.Refusal == balance::RefusalKind::Full)
      target->Refusals.refused(now);
  }
  if (result.Code == ResultCode::Draining &&
      result.End == AttemptEnd::RefusedNotRun)
    target->Refusals.refusedDraining(now);
  if (wasSilent)
    stateOf(call).Hedging.observed(result.End == AttemptEnd::Superseded
                                       ? call.HedgeAfter
                                       : attempt.Timeout);
}

} // namespace radishcross::calls
