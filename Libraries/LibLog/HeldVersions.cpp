#include <LibLog/HeldVersions.h>
#include <LibLog/VersionPlan.h>

#include <algorithm>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;

Offset acceptedAt(const Fold &fold, const std::string &configuration,
                  uint64_t version) {
  auto line = fold.configurations().find(configuration);
  if (line == fold.configurations().end())
    return 0;
  for (const auto &it : line->second.Versions)
    if (it.Number == version)
      return it.At;
  return 0;
}

} // namespace

HeldVersions::HeldVersions(std::string nodeId, config::Labels labels)
    : NodeId(std::move(nodeId)), NodeLabels(std::move(labels)) {
  base::LastReason reason;
  Current = *config::Snapshot::create({}, 0, reason);
}

void HeldVersions::raiseFloor(const std::map<std::string, uint64_t> &versions) {
  for (const auto &[name, version] : versions) {
    auto &floor = Floor[name];
    floor = std::max(floor, version);
  }
  IsFloorPending = true;
}

/// Returns the highest version of each configuration that is attached to this
/// proxy.
HeldVersions::Targets HeldVersions::selectedVersions(const Fold &fold) const {
  Targets out;
  for (const auto &[name, it] : fold.attachments()) {
    if (!it.NodeSelector.matches(NodeId, NodeLabels))
      continue;
    auto &version = out[it.Configuration];
    version = std::max(version, it.Version);
  }
  return out;
}

/// Returns the versions of \p goals that are higher than the held ones.
std::vector<HeldVersions::Target>
HeldVersions::newerThanHeld(const Targets &goals) const {
  std::vector<Target> out;
  for (const auto &[name, version] : goals)
    if (version > Current->versionOf(name))
      out.push_back({name, version});
  return out;
}

/// Returns \p selected with the versions of the floor instead of newer ones.
HeldVersions::Targets HeldVersions::withFloorVersions(Targets selected) const {
  for (const auto &[name, version] : Floor)
    selected[name] = version;
  return selected;
}

std::map<std::string, uint64_t> HeldVersions::exceptions() const {
  std::map<std::string, uint64_t> out;
  for (const auto &name : Holdovers)
    out[name] = Current->versionOf(name);
  for (const auto &it : Waiting)
    out[it.Configuration] = Current->versionOf(it.Configuration);
  return out;
}

void HeldVersions::updateHoldovers(const Targets &selected) {
  Holdovers.clear();
  for (const auto &it : Current->versions()) {
    auto wanted = selected.find(it.Configuration);
    if (wanted == selected.end() || wanted->second < it.Version)
      Holdovers.push_back(it.Configuration);
  }
}

bool HeldVersions::update(const Fold &fold) {
  auto chosen = selectedVersions(fold);
  auto goals = chosen;
  for (const auto &[name, version] : Floor)
    goals[name] = std::max(goals[name], version);
  auto targets = newerThanHeld(goals);
  bool isBlocked =
      !IsFloorPending && !targets.empty() && targets == BlockedTargets;
  bool changed = false;
  if (!isBlocked) {
    // All references in the versions that a restarted proxy held resolve; with
    // newer versions they may not.
    if (IsFloorPending)
      changed = advance(fold, newerThanHeld(withFloorVersions(chosen)));
    IsFloorPending = IsFloorPending && !newerThanHeld(Floor).empty();
    changed = advance(fold, newerThanHeld(goals)) || changed;
  }
  updateHoldovers(chosen);
  return changed;
}

bool HeldVersions::advance(const Fold &fold,
                           const std::vector<Target> &targets) {
  Waiting.clear();
  BlockedTargets.clear();
  std::vector<Candidate> candidates;
  for (const auto &it : targets) {
    base::LastReason reason;
    auto content = fold.contentOf(it.Configuration, it.Version, reason);
    if (!content) {
      Waiting.push_back(
          {it.Configuration, it.Version, reason.code(), reason.text()});
      continue;
    }
    candidates.push_back({{it.Configuration, it.Version, std::move(content)},
                          acceptedAt(fold, it.Configuration, it.Version)});
  }
  if (candidates.empty())
    return false;
  VersionPlan plan(Current->versions(), candidates);
  auto waiting = plan.waiting();
  Waiting.insert(Waiting.end(), waiting.begin(), waiting.end());
  if (waiting.size() == candidates.size()) {
    // The result stays the same until a target changes, unless a target is
    // missing in the fold and may still arrive.
    if (Waiting.size() == waiting.size())
      BlockedTargets = targets;
    return false;
  }
  base::LastReason reason;
  auto next = config::Snapshot::create(plan.result(), fold.offset(), reason);
  if (next) {
    Current = std::move(*next);
    return true;
  }
  // The plan and the snapshot check the same rules, so this is a bug; the
  // current snapshot stays in force.
  Waiting.clear();
  for (const auto &it : targets)
    Waiting.push_back(
        {it.Configuration, it.Version, reason.code(), reason.text()});
  return false;
}

} // namespace radishcross::log
