#include <LibCalls/SplitChoice.h>

#include <algorithm>
#include <numeric>

namespace radishcross::calls {

namespace {

std::vector<uint32_t>
weightsOf(const std::vector<config::Destination> &shares) {
  std::vector<uint32_t> out;
  out.reserve(shares.size());
  for (const auto &it : shares)
    out.push_back(it.Weight);
  return out;
}

} // namespace

const config::Destination &SplitChoice::choose(const config::ResolvedRoute &hit,
                                               base::Random &random) {
  const auto &shares = *hit.Destinations;
  if (shares.size() == 1)
    return shares.front();
  auto &turn = Turns[hit.Matched->Name];
  if (turn.Weights != weightsOf(shares))
    turn = begin(shares, random);
  return shares[advance(turn)];
}

SplitChoice::Turn
SplitChoice::begin(const std::vector<config::Destination> &shares,
                   base::Random &random) {
  Turn out{weightsOf(shares), std::vector<int64_t>(shares.size(), 0)};
  const auto total =
      std::accumulate(out.Weights.begin(), out.Weights.end(), uint64_t{0});
  constexpr uint64_t LongestPhase = 100;
  if (total == 0)
    return out;
  for (auto n = random.below(std::min(total, LongestPhase)); n > 0; --n)
    advance(out);
  return out;
}

size_t SplitChoice::advance(Turn &turn) {
  int64_t total = 0;
  size_t best = 0;
  for (size_t it = 0; it < turn.Weights.size(); ++it) {
    total += turn.Weights[it];
    turn.Credit[it] += turn.Weights[it];
    if (turn.Weights[it] == 0)
      continue;
    if (turn.Credit[it] > turn.Credit[best] || turn.Weights[best] == 0)
      best = it;
  }
  turn.Credit[best] -= total;
  return best;
}

} // namespace radishcross::calls
