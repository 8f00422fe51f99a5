#include <LibFleet/UpdateQueue.h>

#include <algorithm>
#include <utility>

namespace radishcross::fleet {

void UpdateQueue::push(const NodeId &id, bool hasContent) {
  auto &item = Queue[id];
  item.HasContent = item.HasContent || hasContent;
  item.Transmissions = 0;
}

std::vector<UpdateQueue::Item> UpdateQueue::leastSent(size_t maximum) const {
  std::vector<std::pair<uint32_t, const NodeId *>> order;
  order.reserve(Queue.size());
  for (const auto &[id, state] : Queue)
    order.emplace_back(state.Transmissions, &id);
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto &a, const auto &b) { return a.first < b.first; });
  if (order.size() > maximum)
    order.resize(maximum);
  std::vector<Item> result;
  result.reserve(order.size());
  for (const auto &[count, id] : order)
    result.push_back({*id, Queue.at(*id).HasContent});
  return result;
}

void UpdateQueue::sent(const NodeId &id, uint32_t limit) {
  auto it = Queue.find(id);
  if (it == Queue.end())
    return;
  ++it->second.Transmissions;
  if (it->second.Transmissions >= limit)
    Queue.erase(it);
}

} // namespace radishcross::fleet
