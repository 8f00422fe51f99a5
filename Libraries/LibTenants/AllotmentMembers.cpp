#include <LibTenants/AllotmentMembers.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <string>

namespace radishcross::tenants {

bool AllotmentMembers::set(const std::vector<AllotmentMember> &members,
                           base::TimePoint now) {
  if (!std::exchange(HasMembers, true))
    FirstMembers = now;
  if (members == Members)
    return false;
  Times lost;
  std::map<std::string_view, bool> wasAlive;
  for (const auto &it : Members)
    wasAlive.emplace(it.Id, it.IsAlive);
  uint32_t alive = 0;
  for (const auto &it : members) {
    auto since = LostSince.find(it.Id);
    auto before = wasAlive.find(it.Id);
    if (it.IsAlive)
      ++alive;
    else if (since != LostSince.end())
      lost.insert(*since);
    else if (before != wasAlive.end() && before->second)
      lost.emplace(it.Id, now);
  }
  LostSince = std::move(lost);
  AliveMembers = alive;
  Members = members;
  return true;
}

bool AllotmentMembers::forgetLost(base::TimePoint now) {
  return std::erase_if(LostSince, [&](const auto &it) {
           return now - it.second > Settings.MemberMemory;
         }) > 0;
}

bool AllotmentMembers::hasJoined(base::TimePoint now) const {
  return HasMembers && now - FirstMembers >= Settings.JoinTime;
}

bool AllotmentMembers::isOwner(uint32_t group) const {
  const auto key = "shares/" + std::to_string(group);
  const auto own = base::rendezvousWeight(key, Self);
  uint32_t rank = 0;
  for (const auto &it : Members)
    if (it.IsAlive && base::rendezvousWeight(key, it.Id) > own)
      ++rank;
  for (const auto &[id, since] : LostSince)
    if (base::rendezvousWeight(key, id) > own)
      ++rank;
  return rank < Settings.Owners;
}

uint32_t AllotmentMembers::owners() const {
  return std::min(Settings.Owners,
                  AliveMembers + static_cast<uint32_t>(LostSince.size()));
}

/// Returns the node of the highest rendezvous weight for a group, of those that
/// are alive, not doubted, and keep fewer than \p mostGroups others; null:
/// none.
const fleet::NodeId *AllotmentMembers::bestKeeper(uint32_t group,
                                                  const Times &doubted,
                                                  const GroupCounts &kept,
                                                  uint32_t mostGroups) const {
  const auto key = "allotments/" + std::to_string(group);
  const fleet::NodeId *best = nullptr;
  uint64_t most = 0;
  for (const auto &it : Members) {
    if (!it.IsAlive || !it.CanKeep || doubted.contains(it.Id))
      continue;
    const auto own = kept.find(it.Id);
    if (own != kept.end() && own->second >= mostGroups)
      continue;
    const auto weight = base::rendezvousWeight(key, it.Id);
    if (best && weight <= most)
      continue;
    best = &it.Id;
    most = weight;
  }
  return best;
}

AllotmentMembers::Keepers
AllotmentMembers::chooseKeepers(const Times &doubted) const {
  const auto candidates = static_cast<uint32_t>(
      std::count_if(Members.begin(), Members.end(),
                    [](const auto &it) { return it.IsAlive && it.CanKeep; }));
  const auto each =
      (AllotmentGroups + candidates - 1) / std::max(candidates, 1U);
  GroupCounts kept;
  Keepers out;
  for (uint32_t group = 0; group < AllotmentGroups; ++group) {
    const auto *chosen = bestKeeper(group, {}, kept, each);
    if (!chosen)
      continue;
    ++kept[*chosen];
    if (doubted.contains(*chosen))
      chosen = bestKeeper(group, doubted, {}, AllotmentGroups);
    if (chosen)
      out[group] = *chosen;
  }
  return out;
}

} // namespace radishcross::tenants
