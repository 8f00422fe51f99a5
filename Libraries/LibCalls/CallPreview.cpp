#include <LibBalance/SpareTargets.h>
#include <LibCalls/CallPlanner.h>

#include <algorithm>
#include <utility>

// The part of CallPlanner that tells what it would decide.

namespace radishcross::calls {

using balance::KnownTarget;
using balance::LoadBalancer;
using base::Duration;
using base::ResultCode;

PlacePreview CallPlanner::preview(const RoutedCall &call,
                                  base::TimePoint now) const {
  const auto known = Services.find(call.ServiceName);
  auto service = known == Services.end() ? ServiceState() : known->second;
  const auto gateOf =
      VersionBounds ? Gates.find(call.ServiceName) : Gates.end();
  std::optional<rollout::VersionGate> gate;
  if (gateOf != Gates.end() && gateOf->second.mayDiffer(now))
    gate = gateOf->second;
  auto random = Randomness;

  PlacePreview out;
  if (gate) {
    auto versions = VersionsPreview();
    if (gate->order())
      versions.NewVersion = gate->order()->Version;
    versions.SharePermille = gate->sharePermille(now);
    const auto targets = targetsByVersion(*gate, call.ServiceName, now);
    auto counted = *gate;
    versions.Placed =
        counted.place(!targets.Old.empty(), !targets.New.empty(), now);
    out.Versions = std::move(versions);
  }
  const auto mean = service.Times.mean({call.CallRank, call.LatencyObjective});
  for (const auto *it : Table.listed(call.ServiceName))
    out.Candidates.push_back(
        candidatePreview(*it, gate ? &*gate : nullptr, mean, now));
  const bool isForgotten =
      Nodes < RecentMaximumNodes && now - RecentMaximumAt > NodesRetention;
  out.RetriesLeft = service.Budget.left(
      call.CallRank, Retries, isForgotten ? Nodes : RecentMaximumNodes, now);
  if (auto refused = refusedAtOnce(service, call, now, random)) {
    out.Step = std::move(*refused);
    return out;
  }
  const auto *target =
      chooseWith({&service.Spillover, &service.NewVersionSpillover,
                  gate ? &*gate : nullptr, &random},
                 call.ServiceName, {}, now);
  if (!target) {
    out.Step = noTarget();
    return out;
  }
  out.Step.What = CallStep::Kind::Send;
  out.Step.To = target->Candidate;
  out.Step.ServiceName = call.ServiceName;
  out.Step.CallRank = call.CallRank;
  out.Step.Remaining = call.Allowed - HopMargin;
  out.Step.Basis = basisOf(Table.usable(call.ServiceName), *target, now);
  return out;
}

CandidatePreview CallPlanner::candidatePreview(const KnownTarget &target,
                                               const rollout::VersionGate *gate,
                                               std::optional<Duration> meanTime,
                                               base::TimePoint now) const {
  CandidatePreview out;
  out.Candidate = target.Candidate;
  out.Region = target.Region;
  out.IsUsable = target.Usable;
  const auto &record = target.Candidate.Target;
  const bool isReady = record.State == fleet::TargetState::Ready;
  const auto role =
      gate ? gate->roleOf(record.SoftwareVersion) : rollout::Role::Old;
  const bool isHeld = gate && role != rollout::Role::New &&
                      (role != rollout::Role::Old ||
                       gate->isHeldBack(record.SoftwareVersion, now));
  const std::pair<Against, bool> facts[] = {
      {Against::NotReady, !isReady},
      {Against::Leaving, target.IsLeaving},
      {Against::Drained, !target.Usable && isReady && !target.IsLeaving},
      {Against::VersionHeld, isHeld},
      {Against::NewVersion, gate && role == rollout::Role::New},
      {Against::Ejected, target.Health.ejected()},
      {Against::Probing, target.Health.probing()},
      {Against::Refusing, target.Refusals.isAvoided(now)},
      {Against::SuspectNode, target.Suspect},
      {Against::OtherLocality,
       target.Candidate.DataCentre != Balancer.here().DataCentre},
  };
  for (const auto &[why, holds] : facts)
    if (holds)
      out.Reasons.push_back(why);
  out.LoadPermille = target.Load.current(now);
  out.KnownAge = target.Load.age(now);
  out.TimePermille = target.Speed.permille(now);
  out.RefusedPermille = target.RefusedShare.permille(now);
  out.InFlight = target.InFlight;
  out.Score = LoadBalancer::score(target, now);
  out.HasRoom = balance::SpareTargets::hasRoom(target, now);
  if (meanTime)
    out.ExpectedTime =
        *meanTime * out.TimePermille / balance::RelativeTime::UsualPermille;
  out.StatedRate = target.Stated.rate();
  return out;
}

} // namespace radishcross::calls
