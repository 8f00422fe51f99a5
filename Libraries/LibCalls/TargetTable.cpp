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

void TargetTable::membersChanged(const std::vector<fleet::Member> &members,
                                 base::TimePoint now) {
  for (auto &it : Known)
    it.second->Listed = false;
  for (const auto &member : members) {
    if (!serves(member.State))
      continue;
    for (const auto &target : member.Targets)
      take(member, target, now);
  }
  index();
}

void TargetTable::take(const fleet::Member &member,
                       const fleet::TargetRecord &target, base::TimePoint now) {
  const auto &identity = member.Identity;
  const uint64_t id = idOf(identity.Id, target.TargetId);
  auto &slot = Known[id];
  if (!slot) {
    slot = std::make_unique<KnownTarget>();
    slot->Id = id;
  }
  auto &known = *slot;
  if (!known.Path) {
    auto path = Paths[identity.Id].lock();
    if (!path)
      path = std::make_shared<PathDoubt>();
    Paths[identity.Id] = path;
    known.Path = path;
  }
  const auto &before = known.Candidate.Target;
  const bool ready = target.State == TargetState::Ready;
  const bool fresh = before.State != TargetState::Ready ||
                     before.Epoch != target.Epoch || !known.Usable;
  if (ready && fresh)
    known.ReadySince = now;
  if (fresh || before.LoadPermille != target.LoadPermille)
    known.Load.reported(target.LoadPermille, now);
  known.Candidate = {identity.Id, identity.DataCentre, identity.Mesh, target};
  known.Region = identity.Region;
  known.Suspect = member.State == MemberState::Suspect;
  known.Listed = true;
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

void TargetTable::tick(base::TimePoint now) {
  for (auto &it : Known) {
    it.second->Health.tick(now);
    it.second->Path->tick(now);
  }
  std::erase_if(Known, [](const auto &it) {
    return !it.second->Listed && it.second->InFlight == 0;
  });
  std::erase_if(Paths, [](const auto &it) { return it.second.expired(); });
}

} // namespace radishcross::calls
