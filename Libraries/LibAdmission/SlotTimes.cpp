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

void SlotTimes::paceStated(uint32_t percent, base::TimePoint now) {
  PacePercent = percent;
  PaceAt = now;
}

std::optional<uint32_t> SlotTimes::pace(base::TimePoint now) const {
  return PacePercent > 0 && now - PaceAt < PaceLifetime
             ? std::optional(PacePercent)
             : std::nullopt;
}

void SlotTimes::observed(Rank rank, Duration objective, Duration taken,
                         std::optional<uint32_t> pacePercent) {
  ByRank[static_cast<size_t>(rank)].observed(taken, pacePercent);
  const Kind kind{rank, objective};
  if (objective > Duration::zero() &&
      (ByKind.size() < MaximumKinds || ByKind.contains(kind)))
    ByKind[kind].observed(taken, pacePercent);
}

const SlotTime *SlotTimes::find(Rank rank, Duration objective) const {
  if (objective <= Duration::zero())
    return &ByRank[static_cast<size_t>(rank)];
  const auto it = ByKind.find({rank, objective});
  return it == ByKind.end() ? nullptr : &it->second;
}

Duration SlotTimes::learnt(Rank rank, Duration objective) const {
  const auto *time = find(rank, objective);
  return time ? time->expected().value_or(Duration{}) : Duration{};
}

Duration SlotTimes::expected(Rank rank, Duration objective,
                             base::TimePoint now) const {
  const auto assumed = objective > Duration::zero()
                           ? objective / CallsPerObjective
                           : InitialExpectedTime;
  const auto *time = find(rank, objective);
  return time ? time->expectedAt(pace(now)).value_or(assumed) : assumed;
}

Duration SlotTimes::longest() const {
  Duration out{};
  for (const auto &it : ByRank)
    out = std::max(out, it.expected().value_or(InitialExpectedTime));
  return out;
}

} // namespace radishcross::admission
