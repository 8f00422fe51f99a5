#include <LibAdmission/RankScheduler.h>

#include <algorithm>

namespace radishcross::admission {

namespace {

using config::Rank;

/// Bounds of the credit, in calls: how far a rank that exceeds its floor may go
/// into debt, and how much credit it may accumulate.
constexpr int64_t MaximumDebtInCalls = 4;
constexpr int64_t MaximumCreditInCalls = 2;

/// Ranks earn a twentieth more than their floors, because credit is bounded:
/// what a rank earns while none of its calls waits may be lost.
constexpr int64_t EarningPermille = 1050;
constexpr int64_t PercentTimesPermille =
    100 * 1000; ///< Percent times permille.

constexpr Rank LowerRanks[] = {Rank::Standard, Rank::Background};

size_t indexOf(Rank rank) { return static_cast<size_t>(rank); }

} // namespace

void RankScheduler::setLimits(const config::ServiceLimits &limits) {
  FloorPercent[indexOf(Rank::Standard)] = limits.StandardFloorPercent;
  FloorPercent[indexOf(Rank::Background)] = limits.BackgroundFloorPercent;
}

bool RankScheduler::hasCredit(Rank rank) const {
  return Credit[indexOf(rank)] > 0;
}

std::optional<Rank> RankScheduler::next(const RankFlags &waiting) const {
  std::optional<Rank> out;
  for (const Rank it : LowerRanks) {
    if (!waiting[indexOf(it)] || !hasCredit(it))
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

void RankScheduler::started(Rank rank, base::Duration expected,
                            const RankFlags &demand) {
  account(rank, expected.count(), demand);
  clamp(rank, expected.count());
}

void RankScheduler::ended(Rank rank, base::Duration charged,
                          base::Duration taken, const RankFlags &demand) {
  account(rank, (taken - charged).count(), demand);
  clamp(rank, std::max(charged, taken).count());
}

void RankScheduler::account(Rank rank, int64_t microseconds,
                            const RankFlags &demand) {
  for (const Rank it : LowerRanks)
    if (demand[indexOf(it)] || it == rank)
      Credit[indexOf(it)] += microseconds * FloorPercent[indexOf(it)] *
                             EarningPermille / PercentTimesPermille;
  if (rank != Rank::Critical)
    Credit[indexOf(rank)] -= microseconds;
}

void RankScheduler::clamp(Rank rank, int64_t callTime) {
  for (const Rank it : LowerRanks) {
    auto &credit = Credit[indexOf(it)];
    credit = std::min(credit, MaximumCreditInCalls * callTime);
    if (it == rank)
      credit = std::max(credit, -MaximumDebtInCalls * callTime);
  }
}

} // namespace radishcross::admission
