#include <LibCalls/KeyOwnership.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <utility>

namespace radishcross::calls {

namespace {

using fleet::MemberState;

/// When a caller may come back where no time is known.
constexpr base::Duration DefaultRetryAfter = std::chrono::seconds(1);

bool isAlive(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Suspect;
}

} // namespace

KeyOwnership::KeyOwnership(fleet::NodeId self, std::string dataCentre,
                           base::Duration window)
    : Self(std::move(self)), DataCentre(std::move(dataCentre)), Window(window) {
}

void KeyOwnership::membersChanged(const std::vector<fleet::Member> &members,
                                  base::TimePoint now) {
  tick(now);
  for (auto &it : Peers)
    it.second.Alive = false;
  for (const auto &member : members) {
    const auto &identity = member.Identity;
    if (identity.Id == Self || identity.DataCentre != DataCentre)
      continue;
    const bool alive = isAlive(member.State);
    if (!alive && !Peers.contains(identity.Id))
      continue;
    auto &peer = Peers[identity.Id];
    peer.Mesh = identity.Mesh;
    peer.Alive = alive;
    peer.LeftInOrder = member.State == MemberState::Left;
    if (alive)
      peer.LastAlive = now;
  }
  if (!hasMajority()) {
    MinoritySince = MinoritySince.value_or(now);
    return;
  }
  const auto since = std::exchange(MinoritySince, std::nullopt);
  if (since && now - *since > longestAbsence())
    loseMemory(now);
}

bool KeyOwnership::hasMajority() const {
  size_t alive = 1;
  size_t known = 1;
  const fleet::NodeId *first = &Self;
  for (const auto &it : Peers) {
    if (it.second.LeftInOrder)
      continue;
    ++known;
    alive += it.second.Alive ? 1 : 0;
    first = std::min(first, &it.first,
                     [](const auto *a, const auto *b) { return *a < *b; });
  }
  if (alive * 2 != known)
    return alive * 2 > known;
  // Of two equal halves the one with the first node goes on.
  const auto it = Peers.find(*first);
  return it == Peers.end() || it->second.Alive;
}

void KeyOwnership::nothingRanBefore(base::TimePoint now) {
  KnowsFrom = now - memoryNeeded();
}

void KeyOwnership::loseMemory(base::TimePoint now) { KnowsFrom = now; }

void KeyOwnership::tick(base::TimePoint now) {
  if (!KnowsFrom || (LastTick && now - *LastTick > longestAbsence()))
    loseMemory(now);
  LastTick = now;
  for (auto &it : Peers)
    if (it.second.Alive)
      it.second.LastAlive = now;
  std::erase_if(Peers, [now](const auto &it) {
    return !it.second.Alive && now - it.second.LastAlive > LostMemory;
  });
}

KeyOwnership::Verdict KeyOwnership::verdict(std::string_view key,
                                            base::TimePoint now) const {
  const uint64_t ownWeight = base::rendezvousWeight(key, Self);
  uint64_t best = ownWeight;
  const std::pair<const fleet::NodeId, Peer> *owner = nullptr;
  std::optional<base::TimePoint> lost;
  for (const auto &it : Peers) {
    const auto &peer = it.second;
    const bool recent = now - peer.LastAlive < memoryNeeded();
    if (!peer.Alive && !recent)
      continue;
    const uint64_t weight = base::rendezvousWeight(key, it.first);
    if (peer.Alive && weight > best) {
      best = weight;
      owner = &it;
    }
    if (!peer.Alive && weight > ownWeight)
      lost = std::max(lost.value_or(peer.LastAlive), peer.LastAlive);
  }
  if (owner)
    return {Verdict::Kind::Other, owner->first, owner->second.Mesh, {}};
  const bool paused = !LastTick || now - *LastTick > longestAbsence();
  if (paused || MinoritySince || !KnowsFrom)
    return {Verdict::Kind::CannotSay, {}, {}, DefaultRetryAfter};
  const auto from = std::max(*KnowsFrom, lost.value_or(*KnowsFrom));
  if (now - from < memoryNeeded())
    return {Verdict::Kind::CannotSay, {}, {}, from + memoryNeeded() - now};
  return {Verdict::Kind::Own, Self, {}, {}};
}

} // namespace radishcross::calls
