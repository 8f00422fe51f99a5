#include <LibBalance/TargetTable.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <utility>

namespace radishcross::balance {

namespace {

using fleet::MemberState;
using fleet::TargetState;

bool serves(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Suspect;
}

/// Returns whether what an unlisted target has stated still binds its callers.
bool isBinding(const KnownTarget &target, base::TimePoint now) {
  return (target.IsLeaving || target.Stated.rate()) &&
         now - target.UnlistedAt < TargetTable::StatementRetention;
}

uint64_t idOf(const fleet::NodeId &node, const std::string &targetId) {
  return base::hash64(targetId, base::hash64(node));
}

} // namespace

TargetTable::Targets
TargetTable::membersChanged(const std::vector<fleet::Member> &members,
                            base::TimePoint now) {
  Targets changed;
  ++Round;
  for (const auto &member : members)
    if (markSeen(member))
      updateMember(Seen[member.Identity.Id], member, changed, now);
  for (auto &it : Seen)
    if (it.second.Round != Round)
      unlist(it.second.Listed, changed, now);
  std::erase_if(Seen,
                [this](const auto &it) { return it.second.Round != Round; });
  if (std::exchange(IndexStale, false))
    rebuildIndex();
  return changed;
}

/// Marks a member as seen in this round; returns whether it has changed.
bool TargetTable::markSeen(const fleet::Member &member) {
  auto &seen = Seen[member.Identity.Id];
  const bool known = seen.Round != 0;
  seen.Round = Round;
  if (known && seen.Incarnation == member.Incarnation &&
      seen.Revision == member.Revision && seen.State == member.State)
    return false;
  seen.Incarnation = member.Incarnation;
  seen.Revision = member.Revision;
  seen.State = member.State;
  return true;
}

void TargetTable::updateMember(SeenMember &seen, const fleet::Member &member,
                               Targets &changed, base::TimePoint now) {
  Targets named;
  if (serves(member.State)) {
    for (const auto &target : member.Targets) {
      auto &known = knownOf(member, target);
      named.push_back(&known);
      if (updateTarget(known, member, target, now))
        changed.push_back(&known);
    }
  }
  auto gone = std::exchange(seen.Listed, named);
  std::erase_if(gone, [&named](const auto *it) {
    return std::find(named.begin(), named.end(), it) != named.end();
  });
  unlist(gone, changed, now);
}

void TargetTable::unlist(const Targets &targets, Targets &changed,
                         base::TimePoint now) {
  for (auto *it : targets) {
    it->Listed = false;
    it->UnlistedAt = now;
    changed.push_back(it);
    IndexStale = true;
  }
}

KnownTarget &TargetTable::knownOf(const fleet::Member &member,
                                  const fleet::TargetRecord &target) {
  const auto &node = member.Identity.Id;
  const uint64_t id = idOf(node, target.TargetId);
  auto &slot = Known[id];
  if (slot)
    return *slot;
  slot = std::make_unique<KnownTarget>();
  slot->Id = id;
  slot->Path = Paths[node].lock();
  if (!slot->Path)
    slot->Path = std::make_shared<PathHealth>();
  Paths[node] = slot->Path;
  return *slot;
}

/// Updates a target from its record in the fleet; returns false if nothing has
/// changed.
bool TargetTable::updateTarget(KnownTarget &known, const fleet::Member &member,
                               const fleet::TargetRecord &target,
                               base::TimePoint now) {
  const auto &before = known.Candidate.Target;
  const bool suspect = member.State == MemberState::Suspect;
  const bool changed =
      !known.Listed || before.State != target.State ||
      before.Epoch != target.Epoch || before.Service != target.Service ||
      before.Slots != target.Slots || before.Where != target.Where ||
      before.SoftwareVersion != target.SoftwareVersion;
  const bool newLoad = before.LoadPermille != target.LoadPermille;
  if (!changed && !newLoad && known.Suspect == suspect)
    return false;
  const bool readyAnew = !known.Listed || before.State != target.State ||
                         before.Epoch != target.Epoch;
  if (target.State == TargetState::Ready && readyAnew) {
    known.ReadySince = now;
    known.WarmUp =
        target.WarmUpMs
            ? std::optional(std::chrono::milliseconds(*target.WarmUpMs) +
                            base::Duration{})
            : std::nullopt;
  }
  if (readyAnew)
    known.Refusals.announced();
  if (readyAnew || newLoad)
    known.Load.reported(target.LoadPermille, now);
  // Only a later process has nothing to do with what an earlier one stated.
  if (target.Epoch > before.Epoch) {
    known.Stated = {};
    known.Speed = {};
    known.IsLeaving = false;
  }
  const auto &identity = member.Identity;
  known.Candidate = {identity.Id, identity.DataCentre, identity.Mesh, target};
  known.Region = identity.Region;
  known.Suspect = suspect;
  known.Listed = true;
  IndexStale = IndexStale || changed;
  return true;
}

void TargetTable::drainedChanged(const std::vector<std::string> &drained) {
  Drained = {drained.begin(), drained.end()};
  rebuildIndex();
}

bool TargetTable::drained(const KnownTarget &target) const {
  if (Drained.empty())
    return false;
  return Drained.contains("service:" + target.Candidate.Target.Service) ||
         Drained.contains("vm:" + target.Candidate.Node);
}

/// Groups the usable targets by service. They are ordered by id, so that equal
/// lists give equal choices.
void TargetTable::rebuildIndex() {
  ByService.clear();
  for (auto &it : Known) {
    auto &known = *it.second;
    known.Usable = known.Listed &&
                   known.Candidate.Target.State == TargetState::Ready &&
                   !known.IsLeaving && !drained(known);
    if (known.Usable)
      ByService[known.Candidate.Target.Service].push_back(&known);
  }
}

const TargetTable::Targets &
TargetTable::usable(std::string_view serviceName) const {
  static const Targets none;
  const auto it = ByService.find(serviceName);
  return it == ByService.end() ? none : it->second;
}

std::vector<const KnownTarget *>
TargetTable::listed(std::string_view serviceName) const {
  std::vector<const KnownTarget *> out;
  for (const auto &[id, known] : Known)
    if (known->Listed && known->Candidate.Target.Service == serviceName)
      out.push_back(known.get());
  return out;
}

void TargetTable::leaving(KnownTarget &target) {
  if (std::exchange(target.IsLeaving, true))
    return;
  rebuildIndex();
}

KnownTarget *TargetTable::find(uint64_t id) {
  const auto it = Known.find(id);
  return it == Known.end() ? nullptr : it->second.get();
}

bool TargetTable::tick(base::TimePoint now) {
  if (now - LastTick < TickSpacing)
    return false;
  LastTick = now;
  bool out = false;
  for (auto &it : Known) {
    out = it.second->Health.tick(now) || out;
    out = it.second->Path->tick(now) || out;
  }
  const auto forgotten = std::erase_if(Known, [now](const auto &it) {
    const auto &known = *it.second;
    return !known.Listed && known.InFlight == 0 && !isBinding(known, now);
  });
  std::erase_if(Paths, [](const auto &it) { return it.second.expired(); });
  return out || forgotten > 0;
}

} // namespace radishcross::balance
