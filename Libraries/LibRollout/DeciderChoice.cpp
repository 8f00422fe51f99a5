#include <LibRollout/DeciderChoice.h>

#include <LibBase/Hash.h>

namespace radishcross::rollout {

std::string_view deciderOf(std::string_view service,
                           std::span<const std::string> liveNodes) {
  std::string_view best;
  uint64_t bestWeight = 0;
  for (const auto &it : liveNodes) {
    const auto weight = base::rendezvousWeight(service, it);
    if (!best.empty() && weight <= bestWeight)
      continue;
    best = it;
    bestWeight = weight;
  }
  return best;
}

} // namespace radishcross::rollout
