#include <LibCalls/KeyOwnership.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace radishcross::calls {

namespace {

using fleet::MemberState;

/// Retry-after when no better time is known.
constexpr base::Duration DefaultRetryAfter = std::chrono::seconds(1);

bool isAlive(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Suspect;
}

} // namespace

KeyOwnership::KeyOwnership(fleet::NodeId self, std::string dataCentre,
                           base::Duration window, trace::Recorder &recorder)
    : Self(std::move(self)), DataCentre(std::move(dataCentre)), Window(window),
      Record(&recorder) {
  recordEvent(OwnershipEvent::OwnerStart, {window.count()},
              Self + "\n" + DataCentre, {}, {});
}

void KeyOwnership::membersChanged(const std::vector<fleet::Member> &members,
                                  base::TimePoint now) {
  tick(now);
  std::set<std::string_view> named;
  for (const auto &member : members) {
    const auto &identity = member.Identity;
    if (identity.DataCentre != DataCentre || identity.Id == Self)
      continue;
    named.insert(identity.Id);
    const bool alive = isAlive(member.State);
    const bool left = member.State == MemberState::Left;
    const auto it = Peers.find(identity.Id);
    const bool known = it != Peers.end();
    if (known)
      it->second.Mesh = identity.Mesh;
    if (known ? it->second.Alive == alive && it->second.LeftInOrder == left
              : !alive)
      continue;
    peerChanged(identity.Id, alive, left, now);
    Peers[identity.Id].Mesh = identity.Mesh;
  }
  std::vector<fleet::NodeId> unnamed;
  for (const auto &it : Peers)
    if (it.second.Alive && !named.contains(it.first))
      unnamed.push_back(it.first);
  for (const auto &it : unnamed)
    peerChanged(it, false, false, now);
}

void KeyOwnership::peerChanged(const fleet::NodeId &node, bool alive,
                               bool leftInOrder, base::TimePoint now) {
  auto &peer = Peers[node];
  if (peer.Alive && !alive)
    peer.LostAt = now;
  peer.Alive = alive;
  peer.LeftInOrder = leftInOrder;
  recordEvent(OwnershipEvent::Peer, {alive ? 1 : 0, leftInOrder ? 1 : 0}, node,
              {}, now);
  std::erase_if(Peers, [now](const auto &it) {
    return !it.second.Alive && now - it.second.LostAt > LostPeerRetention;
  });
  majorityChanged(now);
}

void KeyOwnership::majorityChanged(base::TimePoint now) {
  if (!hasMajority()) {
    MinoritySince = MinoritySince.value_or(now);
    return;
  }
  const auto since = std::exchange(MinoritySince, std::nullopt);
  if (since && now - *since > maximumPause())
    setCompleteSince(now, now);
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
  // Of two equal halves the one with the lowest node id counts as the majority.
  const auto it = Peers.find(*first);
  return it == Peers.end() || it->second.Alive;
}

void KeyOwnership::assumeNoEarlierCalls(base::TimePoint now) {
  setCompleteSince(now - requiredHistory(), now);
}

void KeyOwnership::setCompleteSince(base::TimePoint from, base::TimePoint now) {
  CompleteSince = from;
  recordEvent(OwnershipEvent::CompleteSince, {from.time_since_epoch().count()},
              {}, {}, now);
}

void KeyOwnership::tick(base::TimePoint now) {
  if (!CompleteSince || (LastTick && now - *LastTick > maximumPause()))
    setCompleteSince(now, now);
  LastTick = now;
}

KeyOwnership::Verdict KeyOwnership::verdict(std::string_view key,
                                            base::TimePoint now) const {
  const bool paused = !LastTick || now - *LastTick > maximumPause();
  auto out = verdictAfter(paused, key, now);
  recordEvent(OwnershipEvent::Verdict, {paused ? 1 : 0}, key, outcomeOf(out),
              now);
  return out;
}

KeyOwnership::Verdict KeyOwnership::verdictAfter(bool paused,
                                                 std::string_view key,
                                                 base::TimePoint now) const {
  const uint64_t ownWeight = base::rendezvousWeight(key, Self);
  uint64_t best = ownWeight;
  const std::pair<const fleet::NodeId, Peer> *owner = nullptr;
  std::optional<base::TimePoint> lost;
  for (const auto &it : Peers) {
    const auto &peer = it.second;
    const bool recent = now - peer.LostAt < requiredHistory();
    if (!peer.Alive && !recent)
      continue;
    const uint64_t weight = base::rendezvousWeight(key, it.first);
    if (peer.Alive && weight > best) {
      best = weight;
      owner = &it;
    }
    if (!peer.Alive && weight > ownWeight)
      lost = std::max(lost.value_or(peer.LostAt), peer.LostAt);
  }
  if (owner)
    return {Verdict::Kind::Other, owner->first, owner->second.Mesh, {}};
  if (paused || MinoritySince || !CompleteSince)
    return {Verdict::Kind::Undetermined, {}, {}, DefaultRetryAfter};
  const auto from = std::max(*CompleteSince, lost.value_or(*CompleteSince));
  if (now - from < requiredHistory())
    return {
        Verdict::Kind::Undetermined, {}, {}, from + requiredHistory() - now};
  return {Verdict::Kind::Own, Self, {}, {}};
}

trace::Outcome KeyOwnership::outcomeOf(const Verdict &verdict) {
  const auto node = verdict.Node.empty() ? 0 : base::hash64(verdict.Node);
  return {static_cast<int64_t>(verdict.What), static_cast<int64_t>(node),
          verdict.RetryAfter.count()};
}

void KeyOwnership::recordEvent(OwnershipEvent::Value event,
                               const trace::Inputs &numbers,
                               std::string_view text,
                               const trace::Outcome &decided,
                               base::TimePoint now) const {
  trace::Entry entry;
  entry.AtMicroseconds = now.time_since_epoch().count();
  entry.Source = trace::Module::Idempotency;
  entry.Event = event;
  entry.Numbers = numbers;
  entry.Text = text;
  entry.Decided = decided;
  Record->record(std::move(entry));
}

} // namespace radishcross::calls
