#include <LibCalls/TrafficSplitter.h>

#include <algorithm>
#include <numeric>

namespace radishcross::calls {

namespace {

std::vector<uint32_t>
weightsOf(const std::vector<config::Destination> &destinations) {
  std::vector<uint32_t> out;
  out.reserve(destinations.size());
  for (const auto &it : destinations)
    out.push_back(it.Weight);
  return out;
}

} // namespace

const config::Destination &
TrafficSplitter::choose(const config::ResolvedRoute &resolved,
                        base::Random &random) {
  const auto &destinations = *resolved.Destinations;
  if (destinations.size() == 1)
    return destinations.front();
  auto &rotation = Rotations[resolved.Matched->Name];
  if (rotation.Weights != weightsOf(destinations))
    rotation = begin(destinations, random);
  return destinations[advance(rotation)];
}

TrafficSplitter::Rotation
TrafficSplitter::begin(const std::vector<config::Destination> &destinations,
                       base::Random &random) {
  Rotation out{weightsOf(destinations),
               std::vector<int64_t>(destinations.size(), 0)};
  const auto total =
      std::accumulate(out.Weights.begin(), out.Weights.end(), uint64_t{0});
  constexpr uint64_t MaximumPhase = 100;
  if (total == 0)
    return out;
  for (auto n = random.below(std::min(total, MaximumPhase)); n > 0; --n)
    advance(out);
  return out;
}

size_t TrafficSplitter::advance(Rotation &rotation) {
  int64_t total = 0;
  size_t best = 0;
  for (size_t it = 0; it < rotation.Weights.size(); ++it) {
    total += rotation.Weights[it];
    rotation.Credit[it] += rotation.Weights[it];
    if (rotation.Weights[it] == 0)
      continue;
    if (rotation.Credit[it] > rotation.Credit[best] ||
        rotation.Weights[best] == 0)
      best = it;
  }
  rotation.Credit[best] -= total;
  return best;
}

} // namespace radishcross::calls
