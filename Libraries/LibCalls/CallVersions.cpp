#include <LibCalls/CallPlanner.h>

#include <LibBase/Hash.h>
#include <LibRollout/StepPlan.h>

#include <utility>

// The part of CallPlanner that gives attempts to the versions of targets.

namespace radishcross::calls {

using balance::KnownTarget;
using balance::TargetTable;
using rollout::Placing;
using rollout::Role;

void CallPlanner::boundVersions(const rollout::Bounds &bounds) {
  VersionBounds = bounds;
  recordEvent(
      CallPlanEvent::VersionBounds,
      {bounds.ExposurePermille, bounds.ExposureSlack, bounds.Rollback.count()},
      {}, {}, {});
}

rollout::VersionGate &CallPlanner::gateOf(const std::string &service) {
  const auto it = Gates.find(service);
  if (it != Gates.end())
    return it->second;
  return Gates
      .try_emplace(service, *VersionBounds, base::hash64(service, GateSeed))
      .first->second;
}

bool CallPlanner::rolloutOrdered(const rollout::Order &order,
                                 base::TimePoint now) {
  if (!VersionBounds || !gateOf(order.Service).ordered(order))
    return false;
  recordEvent(CallPlanEvent::RolloutOrdered,
              {static_cast<int64_t>(order.At), order.Period.count()},
              order.Service + "\n" + order.Version, {}, now);
  return true;
}

bool CallPlanner::rolloutLearned(const std::string &service,
                                 const rollout::StoredProgress &progress,
                                 base::Duration age, base::TimePoint now) {
  const auto it = Gates.find(service);
  if (it == Gates.end())
    return false;
  const auto &value = progress.Value;
  recordEvent(CallPlanEvent::RolloutLearned,
              {static_cast<int64_t>(progress.Offset),
               static_cast<int64_t>(value.OrderAt),
               static_cast<int64_t>(value.State), value.Step, value.Age.count(),
               age.count()},
              service + "\n" + value.Version, {}, now);
  return it->second.learned(progress, age, now);
}

void CallPlanner::rolloutHalted(const std::string &service, uint64_t orderAt,
                                base::TimePoint now) {
  const auto it = Gates.find(service);
  if (it == Gates.end())
    return;
  it->second.halted(orderAt);
  recordEvent(CallPlanEvent::RolloutHalted, {static_cast<int64_t>(orderAt)},
              service, {}, now);
}

std::vector<CallPlanner::VersionCut> CallPlanner::takeVersionCuts() {
  return std::exchange(VersionCuts, {});
}

/// Tells the gates which versions there are. A service with one version and no
/// order needs no gate.
void CallPlanner::listVersions(base::TimePoint now) {
  if (!VersionBounds)
    return;
  for (const auto &[service, targets] : Table.usableByService()) {
    std::map<std::string, size_t, std::less<>> ready;
    for (const auto *it : targets)
      ++ready[it->Candidate.Target.SoftwareVersion];
    gateOf(service).targetsListed(std::move(ready), now);
  }
}

KnownTarget *CallPlanner::chooseTarget(const PlannedCall &call,
                                       Excluded excluded, base::TimePoint now) {
  const auto it =
      VersionBounds ? Gates.find(call.Route.ServiceName) : Gates.end();
  if (it != Gates.end() && it->second.mayDiffer(now))
    return chooseByVersion(call, it->second, excluded, now);
  return Balancer.choose(Table.usable(call.Route.ServiceName), excluded,
                         stateOf(call).Spillover, now, Randomness);
}

KnownTarget *CallPlanner::chooseByVersion(const PlannedCall &call,
                                          rollout::VersionGate &gate,
                                          Excluded excluded,
                                          base::TimePoint now) {
  const auto &all = Table.usable(call.Route.ServiceName);
  TargetTable::Targets old;
  TargetTable::Targets fresh;
  for (auto *it : all) {
    const auto &version = it->Candidate.Target.SoftwareVersion;
    const auto role = gate.roleOf(version);
    if (role == Role::New)
      fresh.push_back(it);
    else if (role == Role::Old && !gate.isHeldBack(version, now))
      old.push_back(it);
  }
  const auto placed = gate.place(!old.empty(), !fresh.empty(), now);
  auto &service = stateOf(call);
  if (placed.Where == Placing::NewOnly) {
    // All nodes use the same few targets: the table orders them by id.
    if (placed.Why == rollout::Basis::Share)
      fresh.resize(rollout::StepPlan::targetsInUse(fresh.size(),
                                                   gate.sharePermille(now)));
    if (auto *it = Balancer.choose(fresh, excluded, service.NewVersionSpillover,
                                   now, Randomness))
      return it;
  }
  return Balancer.choose(old, excluded, service.Spillover, now, Randomness);
}

/// An attempt that surely did not run says nothing of the version, nor does one
/// whose client has gone.
void CallPlanner::noteVersionAnswer(const PlannedCall &call,
                                    const ActiveAttempt &attempt,
                                    const KnownTarget &target,
                                    const AttemptResult &result,
                                    base::TimePoint now) {
  const auto it =
      VersionBounds ? Gates.find(call.Route.ServiceName) : Gates.end();
  const auto &record = target.Candidate.Target;
  const bool isAnswered = result.End == AttemptEnd::Answered;
  const bool isFailed = result.End == AttemptEnd::Broken ||
                        result.End == AttemptEnd::TimedOut ||
                        result.End == AttemptEnd::Superseded;
  if (it == Gates.end() || record.Epoch != attempt.Epoch ||
      !(isAnswered || isFailed))
    return;
  auto why = it->second.answered(call.Route.RouteName, record.SoftwareVersion,
                                 isFailed || result.TargetFailed,
                                 now - attempt.SentAt, now);
  if (why)
    VersionCuts.push_back({call.Route.ServiceName, std::move(*why)});
}

} // namespace radishcross::calls
