#include <LibBalance/LoadBalancer.h>

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <optional>
#include <utility>

namespace radishcross::balance {

namespace {

using Targets = TargetTable::Targets;

constexpr uint64_t FullPermille = 1000;
/// Minimum share of a target's slots that counts during its slow start.
constexpr uint64_t MinimumSlowStartPermille = 100;
/// The same for a target that says how long it remains slow: it runs calls
/// meanwhile, and nobody waits for it longer than it says.
constexpr uint64_t MinimumWarmUpPermille = 500;
/// Added to the score of a target whose node is suspected to have failed.
constexpr uint64_t SuspectPenaltyPermille = 2000;
/// Other data centres get calls only if they have this much more headroom.
constexpr uint32_t SpilloverMarginPermille = 100;

/// Returns the share of a target's slots that counts. It grows from \p least to
/// all of them over \p time.
uint64_t grownPermille(base::Duration age, base::Duration time,
                       uint64_t least) {
  if (age >= time)
    return FullPermille;
  const auto grown = std::max(age, base::Duration::zero()) *
                     static_cast<int64_t>(FullPermille - least) / time.count();
  return least + static_cast<uint64_t>(grown.count());
}

uint64_t slowStartPermille(const KnownTarget &target, base::TimePoint now) {
  const auto age = now - target.ReadySince;
  if (target.WarmUp)
    return grownPermille(age, *target.WarmUp, MinimumWarmUpPermille);
  return std::max(grownPermille(age, LoadBalancer::SlowStart, 0),
                  MinimumSlowStartPermille);
}

std::optional<uint32_t> meanLoad(const Targets &targets, base::TimePoint now) {
  if (targets.empty())
    return std::nullopt;
  uint64_t sum = 0;
  for (const auto *it : targets)
    sum += it->Load.current(now);
  return static_cast<uint32_t>(sum / targets.size());
}

bool isIn(LoadBalancer::Excluded excluded, const KnownTarget &target) {
  return std::find(excluded.begin(), excluded.end(), target.Id) !=
         excluded.end();
}

KnownTarget *randomOf(const Targets &targets, LoadBalancer::Excluded excluded,
                      base::Random &random) {
  auto left = targets;
  std::erase_if(left,
                [excluded](const auto *it) { return isIn(excluded, *it); });
  return left.empty() ? nullptr : left[random.below(left.size())];
}

/// Returns the calls that a target can run in the time of one usual call, in
/// thousandths.
uint64_t capacityOf(const KnownTarget &target, base::TimePoint now) {
  const uint64_t slots = std::max(target.Candidate.Target.Slots, 1U);
  const auto time = static_cast<uint64_t>(target.Speed.permille(now));
  return std::max<uint64_t>(
      slots * slowStartPermille(target, now) * FullPermille / time, 1);
}

/// Draws a target other than \p other with a probability by its capacity: what
/// is known of loads is mostly older than the loads last, and calls drawn
/// evenly would fill the slow and small targets first.
KnownTarget *drawByCapacity(const Targets &targets, const KnownTarget *other,
                            base::TimePoint now, base::Random &random) {
  boost::container::small_vector<uint64_t, 64> sums;
  uint64_t sum = 0;
  for (const auto *it : targets) {
    sum += it == other ? 0 : capacityOf(*it, now);
    sums.push_back(sum);
  }
  const auto found =
      std::upper_bound(sums.begin(), sums.end(), random.below(sum));
  return targets[static_cast<size_t>(found - sums.begin())];
}

KnownTarget *betterOfTwo(const Targets &targets, base::TimePoint now,
                         base::Random &random) {
  if (targets.empty())
    return nullptr;
  if (targets.size() == 1)
    return targets.front();
  auto *a = drawByCapacity(targets, nullptr, now, random);
  auto *b = drawByCapacity(targets, a, now, random);
  return LoadBalancer::score(*b, now) < LoadBalancer::score(*a, now) ? b : a;
}

} // namespace

uint64_t LoadBalancer::score(const KnownTarget &target, base::TimePoint now) {
  const uint64_t own = (target.InFlight + 1) * FullPermille * FullPermille /
                       capacityOf(target, now);
  const uint64_t loaded = own + target.Load.current(now);
  const auto accepted = static_cast<uint64_t>(
      RefusalShare::FullPermille - target.RefusedShare.permille(now));
  // A refusal costs a retry besides the time.
  return loaded * FullPermille * FullPermille / (accepted * accepted) +
         (target.Suspect ? SuspectPenaltyPermille : 0);
}

Targets LoadBalancer::withoutEjected(const Targets &targets) {
  Targets out;
  out.reserve(targets.size());
  for (auto *it : targets) {
    const bool busyProbe = it->Health.probing() && it->InFlight > 0;
    if (!it->Health.ejected() && !busyProbe)
      out.push_back(it);
  }
  // If most targets seem to fail, the fault is likely elsewhere: use them all.
  return out.size() * 2 >= targets.size() ? out : targets;
}

bool LoadBalancer::allAvoided(const Targets &targets, base::TimePoint now) {
  return std::all_of(targets.begin(), targets.end(), [now](const auto *it) {
    return it->Refusals.isAvoided(now);
  });
}

/// Unlike a failure, a refusal is explicit: one target that runs calls is
/// better than any number that refuse them. So there is no minimum of half
/// here.
Targets LoadBalancer::withoutAvoided(Targets targets, base::TimePoint now) {
  if (!allAvoided(targets, now))
    std::erase_if(
        targets, [now](const auto *it) { return it->Refusals.isAvoided(now); });
  return targets;
}

LoadBalancer::Tiers
LoadBalancer::splitByLocality(const Targets &targets) const {
  Tiers out;
  Targets others;
  for (auto *it : targets) {
    if (it->Candidate.DataCentre == Self.DataCentre)
      out.Local.push_back(it);
    else if (it->Region == Self.Region)
      out.Remote.push_back(it);
    else
      others.push_back(it);
  }
  if (out.Remote.empty())
    out.Remote = std::move(others);
  return out;
}

const Targets &LoadBalancer::chooseTier(const Tiers &tiers,
                                        SpilloverShare &spillover,
                                        base::TimePoint now,
                                        base::Random &random) {
  const auto localLoad = meanLoad(tiers.Local, now);
  const uint32_t share = spillover.update(localLoad, now);
  if (tiers.Local.empty() || tiers.Remote.empty())
    return tiers.Local.empty() ? tiers.Remote : tiers.Local;
  if (share == 0 || random.below(FullPermille) >= share)
    return tiers.Local;
  // After the local targets are back, calls return gradually: below the
  // spillover load the share alone decides; above it the remote targets need
  // headroom.
  const bool returning = *localLoad < SpilloverShare::SpilloverPermille;
  const bool headroom =
      *meanLoad(tiers.Remote, now) + SpilloverMarginPermille <= *localLoad;
  return returning || headroom ? tiers.Remote : tiers.Local;
}

/// At a target in backoff a further attempt would most likely be refused and
/// only use up one of the call's attempts.
bool LoadBalancer::mayRetryAt(const KnownTarget &target, Excluded excluded,
                              base::TimePoint now) {
  return !isIn(excluded, target) && !target.Refusals.isBackingOff(now);
}

bool LoadBalancer::hasOther(const Targets &targets, uint64_t target,
                            base::TimePoint now) {
  return std::any_of(targets.begin(), targets.end(), [&](const auto *it) {
    return it->Id != target && !it->Health.ejected() &&
           !it->Refusals.isAvoided(now);
  });
}

KnownTarget *LoadBalancer::choose(const Targets &targets, Excluded excluded,
                                  SpilloverShare &spillover,
                                  base::TimePoint now,
                                  base::Random &random) const {
  if (!Toggles.HeadroomEnabled)
    return randomOf(targets, excluded, random);
  const auto healthy = withoutEjected(targets);
  if (excluded.empty()) {
    const auto tiers = splitByLocality(healthy);
    const auto &tier = chooseTier(tiers, spillover, now, random);
    // Refusals don't last, so they don't change the spillover share.
    return betterOfTwo(
        withoutAvoided(allAvoided(tier, now) ? healthy : tier, now), now,
        random);
  }
  // A further attempt says nothing about the data centre's load: it doesn't
  // change the spillover share and uses the nearest targets.
  for (const auto *list : {&healthy, &targets}) {
    auto left = *list;
    std::erase_if(
        left, [&](const auto *it) { return !mayRetryAt(*it, excluded, now); });
    const auto tiers = splitByLocality(withoutAvoided(std::move(left), now));
    auto *out = betterOfTwo(tiers.Local.empty() ? tiers.Remote : tiers.Local,
                            now, random);
    if (out)
      return out;
  }
  return nullptr;
}

} // namespace radishcross::balance
