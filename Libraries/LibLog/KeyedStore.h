#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace radishcross::log {

/// What the product reads or keeps at the platform.
enum class Topic : uint8_t {
  Changes,  ///< Operators' changes, in order; a key of its own each.
  Nodes,    ///< The nodes of the mesh, by node id.
  Holdings, ///< The versions that each node holds, by node id.
  Operator, ///< What the platform's operator writes; read only.
};

constexpr base::EnumName<Topic> TopicNames[] = {
    {Topic::Changes, "changes"},
    {Topic::Nodes, "nodes"},
    {Topic::Holdings, "holdings"},
    {Topic::Operator, "operator"},
};

/// One record of a topic. An empty value drops the key.
struct KeyedRecord {
  uint64_t At = 0; ///< Its offset in the topic, from 0.
  std::string Key;
  std::string Value;
};

/// Answer to a write. Unknown means that it may have taken effect, or may yet.
struct PutAnswer {
  enum class Kind : uint8_t { Accepted, Refused, Unknown };
  Kind Outcome = Kind::Unknown;
  uint64_t At = 0;
  base::LastReason Reason;
};

/// Answer to a read of a topic.
struct TopicAnswer {
  bool Reached = false; ///< The store answered.
  bool Expired = false; ///< The records asked for are no longer kept.
  uint64_t End = 0;     ///< One past the newest offset.
  std::vector<KeyedRecord> Records;
  base::LastReason Reason;
};

/// The platform's metadata store, as topics of keyed records of which the
/// newest of each key lasts. Answers come through callbacks on the node's one
/// thread; tests put a mock here.
class KeyedStore {
public:
  virtual ~KeyedStore() = default;

  /// Writes one record; \p done is called exactly once.
  virtual void put(Topic topic, std::string key, std::string value,
                   std::function<void(PutAnswer)> done) = 0;

  /// Drops keys, all in one step; \p done is called exactly once.
  virtual void drop(Topic topic, std::vector<std::string> keys,
                    std::function<void(PutAnswer)> done) = 0;

  /// Returns the newest record of each key. Its pages are no snapshot: End is
  /// that of the first page, from where a reader goes on.
  virtual void list(Topic topic, std::function<void(TopicAnswer)> done) = 0;

  /// Returns the records from \p from on, the oldest first; End tells whether
  /// there are more. The store may hold the answer until there is one or \p
  /// wait has passed.
  virtual void follow(Topic topic, uint64_t from, base::Duration wait,
                      std::function<void(TopicAnswer)> done) = 0;
};

} // namespace radishcross::log
