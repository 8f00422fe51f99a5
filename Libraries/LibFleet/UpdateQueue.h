#pragma once

#include <LibFleet/Member.h>

#include <cstdint>
#include <map>
#include <vector>

namespace radishcross::fleet {

/// Which members' news still has to be passed on, and how often each went out.
/// Fresh news goes first; each item goes out a bounded number of times.
class UpdateQueue {
public:
  /// Queues news of a member; older news of it starts anew. Content tells
  /// whether the whole record has to go out or its state alone.
  void push(const NodeId &id, bool hasContent);

  struct Item {
    NodeId Id;
    bool HasContent = false;
  };

  /// Returns queued items, those sent least often first.
  std::vector<Item> leastSent(size_t maximum) const;

  /// Counts one transmission; drops the item after \p limit of them.
  void sent(const NodeId &id, uint32_t limit);

  size_t size() const { return Queue.size(); }

private:
  struct State {
    bool HasContent = false;
    uint32_t Transmissions = 0;
  };
  std::map<NodeId, State> Queue;
};

} // namespace radishcross::fleet
