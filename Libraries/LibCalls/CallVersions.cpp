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
  auto &service = stateOf(call);
  const auto it =
      VersionBounds ? Gates.find(call.Route.ServiceName) : Gates.end();
  auto *gate = it == Gates.end() ? nullptr : &it->second;
  return chooseWith(
      {&service.Spillover, &service.NewVersionSpillover, gate, &Randomness},
      call.Route.ServiceName, excluded, now);
}

KnownTarget *CallPlanner::chooseWith(const ChoiceState &state,
                                     const std::string &service,
                                     Excluded excluded,
                                     base::TimePoint now) const {
  if (state.Gate && state.Gate->mayDiffer(now))
    return chooseByVersion(state, service, excluded, now);
  return Balancer.choose(Table.usable(service), excluded, *state.Spillover, now,
                         *state.Randomness);
}

CallPlanner::VersionTargets
CallPlanner::targetsByVersion(const rollout::VersionGate &gate,
                              const std::string &service,
                              base::TimePoint now) const {
  VersionTargets out;
  for (auto *it : Table.usable(service)) {
    const auto &version = it->Candidate.Target.SoftwareVersion;
    const auto role = gate.roleOf(version);
    if (role == Role::New)
      out.New.push_back(it);
    else if (role == Role::Old && !gate.isHeldBack(version, now))
      out.Old.push_back(it);
  }
  return out;
}

KnownTarget *CallPlanner::chooseByVersion(const ChoiceState &state,
                                          const std::string &service,
                                          Excluded excluded,
                                          base::TimePoint now) const {
  auto targets = targetsByVersion(*state.Gate, service, now);
  auto &fresh = targets.New;
  const auto placed =
      state.Gate->place(!targets.Old.empty(), !fresh.empty(), now);
  if (placed.Where == Placing::NewOnly) {
    // All nodes use the same few targets: the table orders them by id.
    if (placed.Why == rollout::Basis::Share)
      fresh.resize(rollout::StepPlan::targetsInUse(
          fresh.size(), state.Gate->sharePermille(now)));
    if (auto *it = Balancer.choose(fresh, excluded, *state.NewVersionSpillover,
                                   now, *state.Randomness))
      return it;
  }
  return Balancer.choose(targets.Old, excluded, *state.Spillover, now,
                         *state.Randomness);
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
