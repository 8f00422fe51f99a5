#include <LibAdmission/RankDemand.h>

namespace radishcross::admission {

using base::Duration;
using config::Rank;

void RankDemand::arrived(Rank rank, Duration objective, base::TimePoint now) {
  auto &seen = ByRank[static_cast<size_t>(rank)];
  seen.HasArrived = true;
  seen.LastArrival = now;
  seen.HasObjective = objective > Duration::zero();
}

void RankDemand::admissible(Rank rank, Duration objective,
                            base::TimePoint now) {
  if (objective <= Duration::zero())
    return;
  auto &seen = ByRank[static_cast<size_t>(rank)];
  const bool isForgotten =
      seen.Shortest <= Duration::zero() || now - seen.ShortestAt >= Memory;
  if (!isForgotten && objective > seen.Shortest)
    return;
  seen.Shortest = objective;
  seen.ShortestAt = now;
}

RankFlags RankDemand::ranks(base::TimePoint now) const {
  RankFlags out{};
  for (size_t it = 0; it < out.size(); ++it)
    out[it] = ByRank[it].HasArrived && now - ByRank[it].LastArrival < Memory;
  return out;
}

bool RankDemand::hasObjective(Rank rank) const {
  return ByRank[static_cast<size_t>(rank)].HasObjective;
}

bool RankDemand::isShorterInDemand(Rank rank, Duration objective,
                                   base::TimePoint now) const {
  const auto &seen = ByRank[static_cast<size_t>(rank)];
  const bool isShorter =
      objective <= Duration::zero() || seen.Shortest < objective;
  return isShorter && seen.Shortest > Duration::zero() &&
         now - seen.ShortestAt < Memory;
}

} // namespace radishcross::admission
