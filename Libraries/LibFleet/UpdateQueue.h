#pragma once

#include <LibFleet/Member.h>

#include <cstdint>
#include <map>
#include <vector>

namespace radishcross::fleet {

/// Member updates that are still to be disseminated, with the number of times
/// each was sent. The least sent go first; each is sent a bounded number of
/// times.
class UpdateQueue {
public:
  /// Queues an update about a member; resets the count of one already queued.
  /// \p hasContent: send the whole record and not only its state.
  void push(const NodeId &id, bool hasContent);

  struct Item {
    NodeId Id;
    bool HasContent = false;
  };

  /// Returns up to \p maximum queued items, least sent first.
  std::vector<Item> leastSent(size_t maximum) const;

  /// Counts one transmission; removes the item after \p limit transmissions.
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
