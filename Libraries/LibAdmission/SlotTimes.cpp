#include <LibAdmission/SlotTimes.h>

#include <algorithm>

namespace radishcross::admission {

namespace {

using base::Duration;
using config::Rank;

/// Slot time assumed for a rank before its first call has ended.
constexpr Duration InitialExpectedTime = std::chrono::milliseconds(10);
/// Before a call of its kind has ended, a call is assumed to need its latency
/// objective divided by this.
constexpr int64_t CallsPerObjective = 3;

} // namespace

void SlotTimes::observed(Rank rank, Duration objective, Duration taken) {
  ByRank[static_cast<size_t>(rank)].observed(taken);
  const Kind kind{rank, objective};
  if (objective > Duration::zero() &&
      (ByKind.size() < MaximumKinds || ByKind.contains(kind)))
    ByKind[kind].observed(taken);
}

std::optional<Duration> SlotTimes::seen(Rank rank, Duration objective) const {
  if (objective <= Duration::zero())
    return ByRank[static_cast<size_t>(rank)].expected();
  const auto it = ByKind.find({rank, objective});
  return it == ByKind.end() ? std::nullopt : it->second.expected();
}

Duration SlotTimes::learnt(Rank rank, Duration objective) const {
  return seen(rank, objective).value_or(Duration{});
}

Duration SlotTimes::expected(Rank rank, Duration objective) const {
  return seen(rank, objective)
      .value_or(objective > Duration::zero() ? objective / CallsPerObjective
                                             : InitialExpectedTime);
}

Duration SlotTimes::longest() const {
  Duration out{};
  for (const auto &it : ByRank)
    out = std::max(out, it.expected().value_or(InitialExpectedTime));
  return out;
}

} // namespace radishcross::admission
