#include <LibCalls/LoadBalancer.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace radishcross::calls {

namespace {

using Targets = TargetTable::Targets;

constexpr uint64_t FullPermille = 1000;
/// Least share of a target's slots that counts during its slow start.
constexpr uint64_t LeastRampPermille = 100;
/// Added for a target whose node is suspected to have failed.
constexpr uint64_t SuspectPenalty = 2000;
/// Other data centres take calls only with this much more headroom.
constexpr uint32_t SpillMarginPermille = 100;

uint64_t rampPermille(const KnownTarget &target, base::TimePoint now) {
  const auto age = (now - target.ReadySince).count();
  const auto ramp = age * static_cast<int64_t>(FullPermille) /
                    TargetChoice::SlowStart.count();
  return std::clamp<uint64_t>(static_cast<uint64_t>(std::max<int64_t>(ramp, 0)),
                              LeastRampPermille, FullPermille);
}

std::optional<uint32_t> meanLoad(const Targets &targets, base::TimePoint now) {
  if (targets.empty())
    return std::nullopt;
  uint64_t sum = 0;
  for (const auto *it : targets)
    sum += it->Load.current(now);
  return static_cast<uint32_t>(sum / targets.size());
}

bool isIn(TargetChoice::Excluded excluded, const KnownTarget &target) {
  return std::find(excluded.begin(), excluded.end(), target.Id) !=
         excluded.end();
}

KnownTarget *anyOf(const Targets &targets, TargetChoice::Excluded excluded,
                   base::Random &random) {
  auto left = targets;
  std::erase_if(left,
                [excluded](const auto *it) { return isIn(excluded, *it); });
  return left.empty() ? nullptr : left[random.below(left.size())];
}

KnownTarget *leastOfTwo(const Targets &targets, base::TimePoint now,
                        base::Random &random) {
  if (targets.empty())
    return nullptr;
  if (targets.size() == 1)
    return targets.front();
  const size_t first = random.below(targets.size());
  size_t second = random.below(targets.size() - 1);
  second += second >= first ? 1 : 0;
  auto *a = targets[first];
  auto *b = targets[second];
  return TargetChoice::score(*b, now) < TargetChoice::score(*a, now) ? b : a;
}

} // namespace

uint64_t TargetChoice::score(const KnownTarget &target, base::TimePoint now) {
  const uint64_t slots = std::max(target.Candidate.Target.Slots, 1U);
  const uint64_t ramp = rampPermille(target, now);
  const uint64_t own =
      (target.InFlight + 1) * FullPermille * FullPermille / (slots * ramp);
  return own + target.Load.current(now) + (target.Suspect ? SuspectPenalty : 0);
}

Targets TargetChoice::withoutEjected(const Targets &targets) {
  Targets out;
  out.reserve(targets.size());
  for (auto *it : targets) {
    const bool busyProbe = it->Health.probing() && it->InFlight > 0;
    if (!it->Health.ejected() && !busyProbe)
      out.push_back(it);
  }
  // When most seem to fail, the fault is likely elsewhere: use them all.
  return out.size() * 2 >= targets.size() ? out : targets;
}

bool TargetChoice::allRefuse(const Targets &targets, base::TimePoint now) {
  return std::all_of(targets.begin(), targets.end(), [now](const auto *it) {
    return it->Refusals.isLeftAlone(now);
  });
}

/// Unlike a failure a refusal is the target's own word: one that runs calls is
/// better than any number that don't.
Targets TargetChoice::withoutRefusing(Targets targets, base::TimePoint now) {
  if (!allRefuse(targets, now))
    std::erase_if(targets, [now](const auto *it) {
      return it->Refusals.isLeftAlone(now);
    });
  return targets;
}

TargetChoice::Tiers TargetChoice::tiersOf(const Targets &targets) const {
  Tiers out;
  Targets others;
  for (auto *it : targets) {
    if (it->Candidate.DataCentre == Here.DataCentre)
      out.Own.push_back(it);
    else if (it->Region == Here.Region)
      out.Away.push_back(it);
    else
      others.push_back(it);
  }
  if (out.Away.empty())
    out.Away = std::move(others);
  return out;
}

const Targets &TargetChoice::tierFor(const Tiers &tiers,
                                     LocalityShare &locality,
                                     base::TimePoint now,
                                     base::Random &random) {
  const auto ownLoad = meanLoad(tiers.Own, now);
  const uint32_t share = locality.update(ownLoad, now);
  if (tiers.Own.empty() || tiers.Away.empty())
    return tiers.Own.empty() ? tiers.Away : tiers.Own;
  if (share == 0 || random.below(FullPermille) >= share)
    return tiers.Own;
  // After the own targets came back calls return gradually: below the spill
  // load the share alone decides, above it the other side needs headroom.
  const bool returning = *ownLoad < LocalityShare::SpillPermille;
  const bool headroom =
      *meanLoad(tiers.Away, now) + SpillMarginPermille <= *ownLoad;
  return returning || headroom ? tiers.Away : tiers.Own;
}

/// At a target that refuses a further attempt would only be another arrival.
bool TargetChoice::isFurther(const KnownTarget &target, Excluded excluded,
                             base::TimePoint now) {
  return !isIn(excluded, target) && !target.Refusals.pauses(now);
}

KnownTarget *TargetChoice::choose(const Targets &targets, Excluded excluded,
                                  LocalityShare &locality, base::TimePoint now,
                                  base::Random &random) const {
  if (!Compared.ChoosesByHeadroom)
    return anyOf(targets, excluded, random);
  const auto healthy = withoutEjected(targets);
  if (excluded.empty()) {
    const auto tiers = tiersOf(healthy);
    const auto &tier = tierFor(tiers, locality, now, random);
    // Refusals don't last: they leave the data centre's share as it is.
    return leastOfTwo(
        withoutRefusing(allRefuse(tier, now) ? healthy : tier, now), now,
        random);
  }
  // A further attempt says nothing of the data centre's load: it leaves the
  // share as it is and takes what is nearest.
  for (const auto *list : {&healthy, &targets}) {
    auto left = *list;
    std::erase_if(
        left, [&](const auto *it) { return !isFurther(*it, excluded, now); });
    const auto tiers = tiersOf(withoutRefusing(std::move(left), now));
    auto *out =
        leastOfTwo(tiers.Own.empty() ? tiers.Away : tiers.Own, now, random);
    if (out)
      return out;
  }
  return nullptr;
}

} // namespace radishcross::calls
