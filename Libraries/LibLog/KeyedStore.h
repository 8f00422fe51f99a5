#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace radishcross::log {

/// The topics that radishcross reads or writes on the platform.
enum class Topic : uint8_t {
  Changes,    ///< Operators' changes in order, with unique keys.
  Nodes,      ///< The nodes of the mesh, by node id.
  Holdings,   ///< The versions that each node holds, by node id.
  Operator,   ///< Written by the platform's operator; read only.
  Departures, ///< What restarted nodes ask for: the targets of each node that
              ///< have left, by node id, and quarantined requests.
  Status,     ///< What the platform's operator reads.
};

constexpr base::EnumName<Topic> TopicNames[] = {
    {Topic::Changes, "changes"},       {Topic::Nodes, "nodes"},
    {Topic::Holdings, "holdings"},     {Topic::Operator, "operator"},
    {Topic::Departures, "departures"}, {Topic::Status, "status"},
};

/// One record of a topic. An empty value deletes the key.
struct KeyedRecord {
  uint64_t At = 0; ///< Offset in the topic, counted from 0.
  std::string Key;
  std::string Value;
};

/// Answer to a write. Unknown means that it may have taken effect or may still
/// do so.
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
  /// Number of records in the answer that cannot be decoded and are not in
  /// Records.
  size_t Unreadable = 0;
  base::LastReason Reason;
};

/// The platform's metadata store: topics of keyed records that keep at least
/// the newest record of each key. Answers are delivered by callbacks on the
/// node's only thread; tests implement this interface with a mock.
class KeyedStore {
public:
  virtual ~KeyedStore() = default;

  /// Writes one record; \p done is called exactly once.
  virtual void put(Topic topic, std::string key, std::string value,
                   std::function<void(PutAnswer)> done) = 0;

  /// Writes one record if the topic ends at offset \p end; otherwise the answer
  /// is Refused. \p done is called exactly once. A store without conditions
  /// refuses.
  virtual void putAt(Topic, uint64_t /*end*/, const std::string & /*key*/,
                     const std::string & /*value*/,
                     const std::function<void(PutAnswer)> &done) {
    PutAnswer out;
    out.Outcome = PutAnswer::Kind::Refused;
    out.Reason.fail(base::ResultCode::PlatformUnavailable,
                    "the store has no conditional writes");
    done(out);
  }

  /// Deletes all \p keys in one step; \p done is called exactly once.
  virtual void drop(Topic topic, std::vector<std::string> keys,
                    std::function<void(PutAnswer)> done) = 0;

  /// Returns the newest record of each key. The pages are not a consistent
  /// snapshot: End is taken from the first page, and a reader continues from
  /// there.
  virtual void list(Topic topic, std::function<void(TopicAnswer)> done) = 0;

  /// Returns the records from offset \p from on, oldest first; End tells
  /// whether there are more. The store may delay the answer until a record
  /// arrives or \p wait has elapsed.
  virtual void follow(Topic topic, uint64_t from, base::Duration wait,
                      std::function<void(TopicAnswer)> done) = 0;
};

} // namespace radishcross::log
