#include <LibFleet/Membership.h>

#include <algorithm>
#include <iterator>
#include <utility>

// The part of Membership that finds members: when joining, in other data
// centres, and among those that died or left.

namespace radishcross::fleet {

namespace {

constexpr uint64_t OldDeadProbeInterval =
    10; ///< One contact period in this many, if none died or left recently.
constexpr size_t SeedsPerJoin = 3;
constexpr size_t MaximumFoundSeeds = 32;

} // namespace

void Membership::addSeeds(const std::vector<base::Address> &seeds) {
  for (const auto &it : seeds) {
    if (std::find(Seeds.begin(), Seeds.end(), it) != Seeds.end())
      continue;
    // Configured seeds are kept; of those found later the oldest is evicted.
    if (Seeds.size() >= ConfiguredSeeds + MaximumFoundSeeds)
      Seeds.erase(Seeds.begin() + static_cast<ptrdiff_t>(ConfiguredSeeds));
    Seeds.push_back(it);
    NextJoin = {};
    JoinsSent = 0;
  }
}

void Membership::joinIfDue(base::TimePoint now, MembershipActions &actions) {
  if (now < NextJoin || Seeds.empty())
    return;
  bool isAlone = chooseLive(1, [](const Member &) { return true; }).empty();
  // Nodes that start at the same time may form groups that do not know each
  // other, so seeds that are not the address of a live member are asked first.
  auto asked = seedsWithoutMember();
  bool isSearching = !asked.empty();
  // Seeds are also asked later, at long intervals: that rejoins two halves of a
  // fleet that have declared each other dead.
  constexpr uint32_t MostDoublingsAlone = 4;
  constexpr uint32_t MostDoublings = 6;
  auto doublings =
      std::min(JoinsSent, isAlone ? MostDoublingsAlone : MostDoublings);
  auto period = isSearching ? std::min(Settings.JoinPeriod * (1U << doublings),
                                       Settings.LongestJoinPeriod)
                            : Settings.LongestJoinPeriod;
  auto jitter = base::Duration(Rng.below(period.count() / 2 + 1));
  NextJoin = now + period / 2 + jitter;
  ++JoinsSent;
  if (!isSearching)
    asked = Seeds;
  size_t count = isSearching ? SeedsPerJoin : 1;
  size_t first = Rng.below(asked.size());
  for (size_t n = 0; n < std::min(count, asked.size()); ++n) {
    const auto &seed = asked[(first + n) % asked.size()];
    if (seed == self().Identity.Gossip)
      continue;
    auto message = compose(GossipKind::Join);
    message.Updates.insert(message.Updates.begin(), ownUpdate());
    actions.Sends.push_back({seed, std::move(message)});
  }
}

std::vector<base::Address> Membership::seedsWithoutMember() const {
  auto out = Seeds;
  for (const auto &it : Table.all())
    if (isLive(it))
      std::erase(out, it.Identity.Gossip);
  return out;
}

bool Membership::drawRemoteContact() {
  size_t local = std::max<size_t>(liveCount(DataCentre), 1);
  return Rng.below(local) < Settings.RemoteContactsPerPeriod;
}

void Membership::contactRemoteIfDue(base::TimePoint now,
                                    MembershipActions &actions) {
  if (now < NextRemoteContact)
    return;
  NextRemoteContact = now + Settings.Probing.Period;
  if (drawRemoteContact()) {
    auto far = chooseLive(1, [&](const Member &it) { return !isLocal(it); });
    for (const auto *it : far)
      actions.Sends.push_back(
          {it->Identity.Gossip, compose(GossipKind::Ping, 0)});
  }
  probeDeparted(now, actions);
}

/// Pings members that died or left: one declared dead during a partition learns
/// of it, and one that has restarted finds the others.
void Membership::probeDeparted(base::TimePoint now,
                               MembershipActions &actions) {
  std::vector<NodeId> recent;
  for (const auto &[id, until] : DeadUntil)
    if (until - Settings.DeadRetention + Settings.DepartedProbeWindow > now)
      recent.push_back(id);
  std::vector<NodeId> probed;
  while (probed.size() < Settings.DepartedProbesPerPeriod && !recent.empty()) {
    auto place =
        recent.begin() + static_cast<ptrdiff_t>(Rng.below(recent.size()));
    probed.push_back(*place);
    recent.erase(place);
  }
  if (probed.empty() && !DeadUntil.empty() &&
      Rng.below(OldDeadProbeInterval) == 0)
    probed.push_back(
        std::next(DeadUntil.begin(), Rng.below(DeadUntil.size()))->first);
  for (const auto &id : probed) {
    auto message = compose(GossipKind::Ping, 0, {}, Payload::DigestOnly);
    message.Updates.push_back(updateOf(id, false));
    actions.Sends.push_back(
        {Table.find(id)->Identity.Gossip, std::move(message)});
  }
}

} // namespace radishcross::fleet
