#include <LibFleet/Membership.h>

#include <algorithm>
#include <iterator>
#include <utility>

// The part of Membership that finds members: at a start, in other data centres,
// and those that were taken for dead.

namespace radishcross::fleet {

namespace {

constexpr uint64_t DeadProbeChance = 10; ///< One link in so many.
constexpr size_t SeedsPerJoin = 3;
constexpr size_t MaximumFoundSeeds = 32;

} // namespace

void Membership::addSeeds(const std::vector<base::Address> &seeds) {
  for (const auto &it : seeds) {
    if (std::find(Seeds.begin(), Seeds.end(), it) != Seeds.end())
      continue;
    // The configured seeds stay; of those found later the oldest goes.
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
  bool isAlone = choose(1, [](const Member &) { return true; }).empty();
  // Nodes that start together may meet in groups that know nothing of each
  // other: the seeds that lead to no live member are asked first.
  auto asked = seedsWithoutMember();
  bool isSearching = !asked.empty();
  // Seeds are asked now and then also later: that heals two halves of a fleet
  // that have declared each other dead.
  constexpr uint32_t MostDoublingsAlone = 4;
  constexpr uint32_t MostDoublings = 6;
  auto doublings =
      std::min(JoinsSent, isAlone ? MostDoublingsAlone : MostDoublings);
  auto period = isSearching ? std::min(Settings.JoinPeriod * (1U << doublings),
                                       Settings.LongestJoinPeriod)
                            : Settings.LongestJoinPeriod;
  auto jitter = base::Duration(Dice.below(period.count() / 2 + 1));
  NextJoin = now + period / 2 + jitter;
  ++JoinsSent;
  if (!isSearching)
    asked = Seeds;
  size_t count = isSearching ? SeedsPerJoin : 1;
  size_t first = Dice.below(asked.size());
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

bool Membership::drawLink() {
  size_t local = std::max<size_t>(liveCount(DataCentre), 1);
  return Dice.below(local) < Settings.LinksBetweenDataCentres;
}

void Membership::linkIfDue(base::TimePoint now, MembershipActions &actions) {
  if (now < NextLink)
    return;
  NextLink = now + Settings.Probing.Period;
  if (drawLink()) {
    auto far = choose(1, [&](const Member &it) { return !isLocal(it); });
    for (const auto *it : far)
      actions.Sends.push_back(
          {it->Identity.Gossip, compose(GossipKind::Ping, 0)});
  }
  tryGone(now, actions);
}

/// A member that was declared dead during a partition learns of it here, and
/// one that has started again finds the others.
void Membership::tryGone(base::TimePoint now, MembershipActions &actions) {
  std::vector<NodeId> lately;
  for (const auto &[id, until] : DeadUntil)
    if (until - Settings.DeadKept + Settings.GoneTried > now)
      lately.push_back(id);
  std::vector<NodeId> tried;
  while (tried.size() < Settings.GoneTries && !lately.empty()) {
    auto place =
        lately.begin() + static_cast<ptrdiff_t>(Dice.below(lately.size()));
    tried.push_back(*place);
    lately.erase(place);
  }
  if (tried.empty() && !DeadUntil.empty() && Dice.below(DeadProbeChance) == 0)
    tried.push_back(
        std::next(DeadUntil.begin(), Dice.below(DeadUntil.size()))->first);
  for (const auto &id : tried) {
    auto message = compose(GossipKind::Ping, 0, {}, Payload::DigestOnly);
    message.Updates.push_back(updateOf(id, false));
    actions.Sends.push_back(
        {Table.find(id)->Identity.Gossip, std::move(message)});
  }
}

} // namespace radishcross::fleet
