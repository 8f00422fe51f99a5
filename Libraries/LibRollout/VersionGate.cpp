#include <LibRollout/VersionGate.h>

#include <LibRollout/StepPlan.h>

#include <algorithm>
#include <utility>

namespace radishcross::rollout {

namespace {

constexpr uint64_t FullPermille = 1000;

Placing placingOf(Basis why) {
  switch (why) {
  case Basis::NoOrder:
    return Placing::Any;
  case Basis::Completed:
  case Basis::NoOldTarget:
    return Placing::NewOnly;
  default:
    return Placing::OldOnly;
  }
}

} // namespace

VersionGate::VersionGate(const Bounds &bounds, uint64_t randomSeed)
    : Limits(bounds), Phases(randomSeed) {}

bool VersionGate::ordered(const Order &order) {
  if (Current && order.At <= Current->At)
    return false;
  const bool isProven = Known && Known->Value.State == Phase::Completed;
  if (Current && !isProven)
    Abandoned.insert(Current->Version);
  Abandoned.erase(order.Version);
  Current = order;
  Known.reset();
  LeaseEnd = {};
  Judge = {};
  Own = {};
  Counts.clear();
  Calls = NewCalls = 0;
  // Over many nodes the phases add up to the share itself.
  Credit = Phases.below(FullPermille);
  IsCut = IsHalted = false;
  return true;
}

bool VersionGate::learned(const StoredProgress &progress, base::Duration age,
                          base::TimePoint now) {
  if (!Current || progress.Value.OrderAt != Current->At)
    return false;
  if (Known && (progress.Offset < Known->Offset || Known->Value.isFinal()))
    return false;
  LeaseEnd = std::max(LeaseEnd, now - age + LeaseTime);
  const bool isNew = !Known || progress.Offset > Known->Offset;
  if (isNew)
    Known = progress;
  return isNew;
}

void VersionGate::halted(uint64_t orderAt) {
  IsHalted = IsHalted || (Current && Current->At == orderAt);
}

Role VersionGate::roleOf(std::string_view version) const {
  if (Abandoned.contains(version))
    return Role::Withheld;
  if (!Current || version != Current->Version)
    return Role::Old;
  const bool isBad = Known && Known->Value.State == Phase::RolledBack;
  return isBad ? Role::Withheld : Role::New;
}

void VersionGate::targetsListed(
    std::map<std::string, size_t, std::less<>> ready, base::TimePoint now) {
  Ready = std::move(ready);
  std::erase_if(FirstSeen,
                [this](const auto &it) { return !Ready.contains(it.first); });
  for (const auto &[version, targets] : Ready)
    FirstSeen.emplace(version, now);
}

bool VersionGate::isHeldBack(std::string_view version,
                             base::TimePoint now) const {
  const auto seen = FirstSeen.find(version);
  if (seen == FirstSeen.end() || now - seen->second >= UnorderedHold ||
      (Current && Current->Version == version))
    return false;
  const auto own = Ready.find(version)->second;
  return std::any_of(Ready.begin(), Ready.end(), [&](const auto &it) {
    const bool isLarger =
        it.second > own || (it.second == own && it.first < version);
    const auto other = FirstSeen.find(it.first)->second;
    return it.first != version && it.second > 0 &&
           (other < seen->second || (other == seen->second && isLarger));
  });
}

bool VersionGate::mayDiffer(base::TimePoint now) const {
  return Current ||
         std::any_of(Ready.begin(), Ready.end(),
                     [&](const auto &it) { return isHeldBack(it.first, now); });
}

Basis VersionGate::basis(bool hasOld, bool hasNew, base::TimePoint now) const {
  if (!Current)
    return Basis::NoOrder;
  if (Known && Known->Value.State == Phase::RolledBack)
    return Basis::RolledBack;
  if (!hasNew)
    return Basis::NoNewTarget;
  if (Known && Known->Value.State == Phase::Completed)
    return Basis::Completed;
  if (!hasOld)
    return Basis::NoOldTarget;
  if (IsCut)
    return Basis::LocalCut;
  if (IsHalted)
    return Basis::Halted;
  if (!Known || now >= LeaseEnd)
    return Basis::NoLease;
  return Basis::Share;
}

uint32_t VersionGate::sharePermille(base::TimePoint now) const {
  const auto why = basis(true, true, now);
  if (why == Basis::Share)
    return StepPlan::sharePermille(Known->Value.Step, Limits);
  return placingOf(why) == Placing::NewOnly ? FullPermille : 0;
}

bool VersionGate::takeShare(base::TimePoint now) {
  const uint64_t share = sharePermille(now);
  // Before the last step, also a share that is raised early keeps the bound.
  const bool isBounded = Known->Value.Step < StepPlan::FullStep;
  Credit = std::min(Credit + share, 2 * FullPermille - 1);
  if (Credit < FullPermille)
    return false;
  if (isBounded && Calls >= FullPermille / std::max<uint64_t>(share, 1) &&
      NewCalls * FullPermille >= Calls * Limits.ExposurePermille)
    return false;
  Credit -= FullPermille;
  return true;
}

PlacingAnswer VersionGate::place(bool hasOld, bool hasNew,
                                 base::TimePoint now) {
  PlacingAnswer it;
  it.Why = basis(hasOld, hasNew, now);
  it.Where = placingOf(it.Why);
  if (it.Why == Basis::NoOrder)
    return it;
  ++Calls;
  if (it.Why == Basis::Share && takeShare(now))
    it.Where = Placing::NewOnly;
  if (it.Where == Placing::NewOnly)
    ++NewCalls;
  return it;
}

std::optional<Finding> VersionGate::answered(const std::string &route,
                                             std::string_view version,
                                             bool failed,
                                             base::Duration latency,
                                             base::TimePoint now) {
  const auto role = roleOf(version);
  if (!Current || role == Role::Withheld)
    return std::nullopt;
  const bool isNew = role == Role::New;
  auto &it = Counts[route];
  it.Route = route;
  auto &side = isNew ? it.New : it.Old;
  side.add({1, Judge.judge(route, isNew, failed, latency) ? 1U : 0U});
  if (!isNew || IsCut || (Known && Known->Value.isFinal()))
    return std::nullopt;
  NodeCounts own;
  own.Sequence = ++Sequence;
  for (const auto &[name, counts] : Counts)
    own.Routes.push_back(counts);
  Own.add(own, now);
  auto found = Own.findFault(now);
  IsCut = found.has_value();
  return found;
}

NodeCounts VersionGate::report(std::string node, uint64_t boot) {
  NodeCounts it;
  it.Node = std::move(node);
  it.OrderAt = Current ? Current->At : 0;
  it.Boot = boot;
  it.Sequence = ++Sequence;
  it.IsHalted = IsHalted;
  for (const auto &[name, counts] : Counts)
    it.Routes.push_back(counts);
  return it;
}

} // namespace radishcross::rollout
