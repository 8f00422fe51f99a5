#pragma once

#include <LibBase/Clock.h>
#include <LibLog/KeyedStore.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishcross::node {

/// One node's own record in a topic of the platform's store, from which the
/// node's next process learns what it cannot know by itself.
class StoredNodeRecord {
public:
  /// \p onStored is called when the store has accepted a write.
  StoredNodeRecord(log::KeyedStore &store, log::Topic topic, std::string node,
                   std::function<void()> onStored);

  /// What a process of this node has written; empty if none has.
  struct Recalled {
    bool Reached = false; ///< The store answered.
    std::string Text;
    base::LastReason Reason;
    std::vector<log::KeyedRecord> Others; ///< Of the same topic.
  };

  /// Reads the record; \p done is called once. Nothing is written meanwhile.
  void load(std::function<void(const Recalled &)> done);

  /// Sets the text to be stored; the next tick writes it.
  void setDesired(std::string text) { Desired = std::move(text); }

  /// Returns whether the store is known to hold exactly this text.
  bool isStored(const std::string &text) const { return Stored == text; }

  /// Returns whether the store is known to hold the desired text.
  bool isCurrent() const { return Stored == Desired; }

  /// Writes the text if it has changed. One write is in flight at a time.
  void tick(base::TimePoint now);

private:
  void writeEnded(const std::string &text, const log::PutAnswer &answer);

  log::KeyedStore *Store;
  log::Topic Topic;
  std::string Node;
  std::function<void()> OnStored;
  std::string Desired;
  std::string Stored; ///< What the store is known to contain.
  bool IsBusy = false;
  base::TimePoint NextWrite{};
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
