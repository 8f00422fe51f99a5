#include <LibCalls/TargetTable.h>

#include <LibBase/Hash.h>

namespace radishcross::calls {

namespace {

using fleet::MemberState;
using fleet::TargetState;

bool serves(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Suspect;
}

uint64_t idOf(const fleet::NodeId &node, const std::string &targetId) {
  return base::hash64(targetId, base::hash64(node));
}

} // namespace

TargetTable::Targets
TargetTable::membersChanged(const std::vector<fleet::Member> &members,
                            base::TimePoint now) {
  Targets out;
  std::set<uint64_t> named;
  for (const auto &member : members) {
    if (!serves(member.State))
      continue;
    for (const auto &target : member.Targets) {
      auto &known = knownOf(member, target);
      named.insert(known.Id);
      if (take(known, member, target, now))
        out.push_back(&known);
    }
  }
  for (auto &it : Known) {
    auto &known = *it.second;
    if (!known.Listed || named.contains(known.Id))
      continue;
    known.Listed = false;
    out.push_back(&known);
  }
  if (!out.empty())
    index();
  return out;
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
    slot->Path = std::make_shared<PathDoubt>();
  Paths[node] = slot->Path;
  return *slot;
}

/// Takes what the fleet says of a target; returns false when it is nothing new.
bool TargetTable::take(KnownTarget &known, const fleet::Member &member,
                       const fleet::TargetRecord &target, base::TimePoint now) {
  const auto &before = known.Candidate.Target;
  const bool suspect = member.State == MemberState::Suspect;
  const bool changed =
      !known.Listed || before.State != target.State ||
      before.Epoch != target.Epoch || before.Service != target.Service ||
      before.Slots != target.Slots || before.Where != target.Where;
  const bool newLoad = before.LoadPermille != target.LoadPermille;
  if (!changed && !newLoad && known.Suspect == suspect)
    return false;
  const bool readyAnew = !known.Listed || before.State != target.State ||
                         before.Epoch != target.Epoch;
  if (target.State == TargetState::Ready && readyAnew)
    known.ReadySince = now;
  if (readyAnew || newLoad)
    known.Load.reported(target.LoadPermille, now);
  const auto &identity = member.Identity;
  known.Candidate = {identity.Id, identity.DataCentre, identity.Mesh, target};
  known.Region = identity.Region;
  known.Suspect = suspect;
  known.Listed = true;
  return true;
}

void TargetTable::drainedChanged(const std::vector<std::string> &drained) {
  Drained = {drained.begin(), drained.end()};
  index();
}

bool TargetTable::drained(const KnownTarget &target) const {
  if (Drained.empty())
    return false;
  return Drained.contains("service:" + target.Candidate.Target.Service) ||
         Drained.contains("vm:" + target.Candidate.Node);
}

/// Sorts the usable targets by service. Ids give the order, so that equal lists
/// give equal choices.
void TargetTable::index() {
  ByService.clear();
  for (auto &it : Known) {
    auto &known = *it.second;
    known.Usable = known.Listed &&
                   known.Candidate.Target.State == TargetState::Ready &&
                   !drained(known);
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

KnownTarget *TargetTable::find(uint64_t id) {
  const auto it = Known.find(id);
  return it == Known.end() ? nullptr : it->second.get();
}

bool TargetTable::tick(base::TimePoint now) {
  bool out = false;
  for (auto &it : Known) {
    out = it.second->Health.tick(now) || out;
    out = it.second->Path->tick(now) || out;
  }
  const auto forgotten = std::erase_if(Known, [](const auto &it) {
    return !it.second->Listed && it.second->InFlight == 0;
  });
  std::erase_if(Paths, [](const auto &it) { return it.second.expired(); });
  return out || forgotten > 0;
}

} // namespace radishcross::calls
