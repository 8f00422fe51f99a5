#include <LibCalls/RankShare.h>

#include <algorithm>

namespace radishcross::calls {

namespace {

using config::Rank;

/// Bounds of a credit, in calls: how far a rank may run ahead of its floor
/// without being held back for it later, and how much it may save up.
constexpr int64_t DeepestDebt = 4;
constexpr int64_t HighestSaving = 2;

constexpr Rank LowerRanks[] = {Rank::Standard, Rank::Background};

size_t indexOf(Rank rank) { return static_cast<size_t>(rank); }

} // namespace

void RankShare::setLimits(const config::ServiceLimits &limits) {
  FloorPercent[indexOf(Rank::Standard)] = limits.StandardFloorPercent;
  FloorPercent[indexOf(Rank::Background)] = limits.BackgroundFloorPercent;
}

bool RankShare::owed(Rank rank) const { return Credit[indexOf(rank)] > 0; }

std::optional<Rank> RankShare::next(const RankFlags &waiting) const {
  std::optional<Rank> out;
  for (const Rank it : LowerRanks) {
    if (!waiting[indexOf(it)] || !owed(it))
      continue;
    if (!out || Credit[indexOf(it)] > Credit[indexOf(*out)])
      out = it;
  }
  if (out)
    return out;
  for (size_t it = 0; it < config::RankCount; ++it)
    if (waiting[it])
      return static_cast<Rank>(it);
  return std::nullopt;
}

void RankShare::started(Rank rank, base::Duration expected,
                        const RankFlags &waiting) {
  account(rank, expected.count(), waiting);
  clamp(rank, expected.count());
}

void RankShare::ended(Rank rank, base::Duration charged, base::Duration taken,
                      const RankFlags &waiting) {
  account(rank, (taken - charged).count(), waiting);
  clamp(rank, std::max(charged, taken).count());
}

void RankShare::account(Rank rank, int64_t microseconds,
                        const RankFlags &waiting) {
  for (const Rank it : LowerRanks)
    if (waiting[indexOf(it)] || it == rank)
      Credit[indexOf(it)] += microseconds * FloorPercent[indexOf(it)] / 100;
  if (rank != Rank::Critical)
    Credit[indexOf(rank)] -= microseconds;
}

void RankShare::clamp(Rank rank, int64_t callTime) {
  for (const Rank it : LowerRanks) {
    auto &credit = Credit[indexOf(it)];
    credit = std::min(credit, HighestSaving * callTime);
    if (it == rank)
      credit = std::max(credit, -DeepestDebt * callTime);
  }
}

} // namespace radishcross::calls
