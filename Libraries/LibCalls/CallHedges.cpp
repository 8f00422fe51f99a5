#include <LibBalance/SpareTargets.h>
#include <LibCalls/CallPlanner.h>

#include <algorithm>
#include <utility>

// The part of CallPlanner that starts a second attempt beside one that is late.

namespace radishcross::calls {

using balance::HedgeRefusal;
using balance::SpareTargets;
using balance::TargetTable;
using base::Duration;
using base::ResultCode;

void CallPlanner::limitHedges(const balance::HedgeSettings &settings) {
  LateHedges = balance::HedgePolicy(settings);
  std::string shares;
  for (const auto &[service, permille] : settings.ServiceSharePermille)
    shares += service + "\n" + std::to_string(permille) + "\n";
  recordEvent(CallPlanEvent::HedgeLimits,
              {settings.SharePermille, settings.QuantilePermille},
              std::move(shares), {}, {});
}

std::map<std::string, balance::HedgeCounts> CallPlanner::hedgeCounts() const {
  return LateHedges.countsByService();
}

/// Returns whether the attempt just sent may have a hedge when it is late. Only
/// the call that a client began is hedged, so a chain of calls has at most one:
/// what it calls while a hedge runs is within a retry.
bool CallPlanner::isHedgedWhenLate(const PlannedCall &call, bool retry) {
  const auto &route = call.Route;
  if (retry || call.Attempts != 1 || !route.Idempotent || route.WithinRetry ||
      !LateHedges.isOn(route.ServiceName))
    return false;
  if (!route.IsNested && !isNested(stateOf(call), route))
    return true;
  ++LateHedges.counts(route.ServiceName)
        .NotStarted[static_cast<size_t>(HedgeRefusal::Nested)];
  return false;
}

/// Returns the time after which the attempt just sent counts as late; 0: never.
Duration CallPlanner::lateAfter(PlannedCall &call, bool retry,
                                base::TimePoint now) {
  if (!isHedgedWhenLate(call, retry))
    return {};
  const auto &service = call.Route.ServiceName;
  const auto delay =
      LateHedges.delay(service, call.Route.RouteName,
                       call.ActiveAttempts.back().TimePermille, now);
  if (!delay) {
    ++LateHedges.counts(service)
          .NotStarted[static_cast<size_t>(HedgeRefusal::FewAnswers)];
    return {};
  }
  call.Late.After = *delay;
  return *delay;
}

/// Returns whether the first attempt has been silent for so long that it may be
/// lost; see balance::HedgeDelay.
bool CallPlanner::isSilenceDue(const PlannedCall &call, base::TimePoint now) {
  if (call.Late.After <= Duration::zero() || call.ActiveAttempts.empty())
    return true;
  return call.HedgeAfter > Duration::zero() &&
         now - call.ActiveAttempts.front().SentAt >= call.HedgeAfter;
}

/// Returns whether the hedge of a late call or the attempt beside it is still
/// in flight. A refusal of one then leaves the call to the other.
bool CallPlanner::isRacing(const PlannedCall &call) {
  return call.Late.Attempt != 0 && !call.ActiveAttempts.empty();
}

std::optional<CallStep> CallPlanner::hedgeLate(PlannedCall &call,
                                               base::TimePoint now) {
  if (call.ActiveAttempts.size() != 1 || call.Retried ||
      call.ActiveAttempts.front().Attempt != 1)
    return std::nullopt;
  const auto &service = call.Route.ServiceName;
  const bool isFirstAsk = !std::exchange(call.Late.IsLate, true);
  if (isFirstAsk)
    LateHedges.late(service, now);
  auto why = lateHedgeRefusal(call, now);
  TargetTable::Targets targets;
  if (why == HedgeRefusal::None) {
    targets = spareTargets(call, now);
    why = removeLater(call, targets, now);
  }
  balance::KnownTarget *target = nullptr;
  if (why == HedgeRefusal::None) {
    const uint64_t excluded[] = {call.ActiveAttempts.front().Target};
    target = Balancer.choose(targets, excluded, stateOf(call).Spillover, now,
                             Randomness);
    why = target ? HedgeRefusal::None : HedgeRefusal::NoRoom;
  }
  if (!target) {
    if (isFirstAsk)
      ++LateHedges.counts(service).NotStarted[static_cast<size_t>(why)];
    return std::nullopt;
  }
  LateHedges.spend(service, now);
  auto out = sendTo(call, *target, true, now);
  out.Hedge = HedgeCause::Late;
  call.Late.Attempt = out.Attempt;
  return out;
}

/// Returns why a late call may not have a hedge, whatever its targets, or None.
/// A hedge is charged to the retry budget as if it were of the least urgent
/// rank, which leaves the rest to retries.
HedgeRefusal CallPlanner::lateHedgeRefusal(const PlannedCall &call,
                                           base::TimePoint now) {
  const auto &service = call.Route.ServiceName;
  if (isAtNewVersion(call, now))
    return HedgeRefusal::Rollout;
  const auto stop = retryRefusal(call, now);
  if (stop == StopReason::NoTime)
    return HedgeRefusal::NoTime;
  if (stop != StopReason::None && stop != StopReason::NoBudget)
    return HedgeRefusal::Attempts;
  if (stop == StopReason::NoBudget ||
      !stateOf(call).Budget.available(config::Rank::Background, Retries,
                                      recentNodes(now), now))
    return HedgeRefusal::RetryBudget;
  return LateHedges.mayStart(
      service, SpareTargets::headroomPermille(Table.usable(service), now), now);
}

/// Returns the targets with room to which a hedge may go.
TargetTable::Targets CallPlanner::spareTargets(const PlannedCall &call,
                                               base::TimePoint now) {
  auto out = Table.usable(call.Route.ServiceName);
  const auto used = call.ActiveAttempts.front().Target;
  std::erase_if(out, [&](const auto *it) {
    return it->Id == used || !SpareTargets::hasRoom(*it, now);
  });
  const auto gate =
      VersionBounds ? Gates.find(call.Route.ServiceName) : Gates.end();
  if (gate == Gates.end() || !gate->second.mayDiffer(now))
    return out;
  std::erase_if(out, [&](const auto *it) {
    const auto &version = it->Candidate.Target.SoftwareVersion;
    return gate->second.roleOf(version) != rollout::Role::Old ||
           gate->second.isHeldBack(version, now);
  });
  return out;
}

/// Removes the targets that are not expected to answer before the first
/// attempt. Returns why none is left, or None.
HedgeRefusal CallPlanner::removeLater(const PlannedCall &call,
                                      TargetTable::Targets &targets,
                                      base::TimePoint now) {
  if (targets.empty())
    return HedgeRefusal::NoRoom;
  const auto &route = call.Route;
  const auto &first = call.ActiveAttempts.front();
  const auto rest =
      LateHedges.expected(route.ServiceName, route.RouteName,
                          first.TimePermille, now - first.SentAt, now);
  const auto left = call.Deadline - now - HopMargin;
  std::erase_if(targets, [&](const auto *it) {
    const auto expected = LateHedges.expected(
        route.ServiceName, route.RouteName, it->Speed.permille(now), {}, now);
    return !rest || !expected || *expected >= *rest || *expected > left;
  });
  return targets.empty() ? HedgeRefusal::NotSooner : HedgeRefusal::None;
}

/// A hedge would hide how slow a new version is.
bool CallPlanner::isAtNewVersion(const PlannedCall &call, base::TimePoint now) {
  const auto gate =
      VersionBounds ? Gates.find(call.Route.ServiceName) : Gates.end();
  if (gate == Gates.end() || !gate->second.mayDiffer(now))
    return false;
  const auto *target = Table.find(call.ActiveAttempts.front().Target);
  return !target ||
         gate->second.roleOf(target->Candidate.Target.SoftwareVersion) !=
             rollout::Role::Old;
}

/// Learns from the first attempts of calls alone: hedges go to chosen targets.
void CallPlanner::noteAnswerTime(const PlannedCall &call,
                                 const ActiveAttempt &attempt,
                                 const AttemptResult &result,
                                 base::TimePoint now) {
  const auto &route = call.Route;
  if (!LateHedges.isOn(route.ServiceName))
    return;
  const bool isFull = result.Code == ResultCode::Overloaded ||
                      (result.Code == ResultCode::TargetRefused &&
                       result.Refusal == balance::RefusalKind::Full);
  if (isFull)
    LateHedges.refused(route.ServiceName, now);
  const bool isAnswered =
      result.End == AttemptEnd::Answered && !result.TargetFailed;
  if (attempt.Attempt == 1 && route.Idempotent && isAnswered)
    LateHedges.answered(route.ServiceName, route.RouteName,
                        now - attempt.SentAt, attempt.TimePermille, false, now);
}

/// Returns how an attempt ends of which the answer is no longer awaited. One
/// that a hedge has outrun within its time was not silent: it says nothing bad
/// of its target, of the path there or of a version.
AttemptEnd CallPlanner::dropAs(PlannedCall &call, const ActiveAttempt &attempt,
                               uint32_t answered, base::TimePoint now) {
  if (attempt.Attempt >= answered)
    return AttemptEnd::CallerGone;
  const auto took = now - attempt.SentAt;
  if (answered != call.Late.Attempt)
    return AttemptEnd::Superseded;
  LateHedges.answered(call.Route.ServiceName, call.Route.RouteName, took,
                      attempt.TimePermille, true, now);
  const bool wasSilent =
      call.HedgeAfter > Duration::zero() && took >= call.HedgeAfter;
  return wasSilent ? AttemptEnd::Superseded : AttemptEnd::CallerGone;
}

/// Counts how the hedge of a late call has ended, once.
void CallPlanner::settleLateHedge(PlannedCall &call, uint32_t answered) {
  if (call.Late.Attempt == 0 || std::exchange(call.Late.IsSettled, true))
    return;
  auto &counts = LateHedges.counts(call.Route.ServiceName);
  if (answered == 0)
    ++counts.Abandoned;
  else if (answered == call.Late.Attempt)
    ++counts.Won;
  else
    ++counts.Lost;
}

} // namespace radishcross::calls
