#include <LibCalls/CallPlanner.h>

#include <algorithm>
#include <utility>

namespace radishcross::calls {

void CallPlanner::membersChanged(const std::vector<fleet::Member> &members,
                                 base::TimePoint now) {
  for (const auto *it : Table.membersChanged(members, now))
    recordTarget(*it, now);
  listVersions(now);
}

void CallPlanner::nodesChanged(int64_t nodes, base::TimePoint now) {
  if (nodes == Nodes)
    return;
  if (Nodes == RecentMaximumNodes)
    RecentMaximumAt = now; // The maximum was reached until now.
  Nodes = nodes;
  RecentMaximumNodes = std::max(RecentMaximumNodes, nodes);
  recordEvent(CallPlanEvent::Nodes, {nodes}, {}, {}, now);
}

void CallPlanner::drainedChanged(const std::vector<std::string> &drained,
                                 base::TimePoint now) {
  Table.drainedChanged(drained);
  std::string names;
  for (const auto &it : drained)
    names += it + "\n";
  recordEvent(CallPlanEvent::Drained, {}, std::move(names), {}, now);
}

void CallPlanner::tick(base::TimePoint now) {
  if (Table.tick(now))
    recordEvent(CallPlanEvent::Tick, {}, {}, {}, now);
}

std::vector<std::pair<std::string, int64_t>>
CallPlanner::retriesLeft(base::TimePoint now) {
  std::vector<std::pair<std::string, int64_t>> out;
  for (auto &[name, service] : Services)
    out.emplace_back(name, service.Budget.left(config::Rank::Critical, Retries,
                                               recentNodes(now), now));
  return out;
}

int64_t CallPlanner::recentNodes(base::TimePoint now) {
  if (Nodes < RecentMaximumNodes && now - RecentMaximumAt > NodesRetention)
    RecentMaximumNodes = Nodes;
  return RecentMaximumNodes;
}

void CallPlanner::recordTarget(const balance::KnownTarget &target,
                               base::TimePoint now) {
  const auto &candidate = target.Candidate;
  const auto &record = candidate.Target;
  const int64_t warmUp = record.WarmUpMs ? int64_t{*record.WarmUpMs} + 1 : 0;
  recordEvent(
      CallPlanEvent::Target,
      {static_cast<int64_t>(record.State) +
           CallPlanEvent::StatesPerWarmUp * warmUp,
       record.Slots, record.LoadPermille, static_cast<int64_t>(record.Epoch),
       target.Suspect ? 1 : 0, target.Listed ? 1 : 0},
      candidate.Node + "\n" + candidate.DataCentre + "\n" + target.Region +
          "\n" + record.Service + "\n" + record.TargetId +
          (VersionBounds ? "\n" + record.SoftwareVersion : ""),
      {}, now);
}

} // namespace radishcross::calls
