#pragma once

#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::log {

/// Position in the platform's log; the first record has offset 1, so 0 means
/// "before every record".
using Offset = uint64_t;

/// Bytes of one record as the platform keeps it.
struct StoredRecord {
  Offset At = 0;
  std::string Bytes;
};

enum class RecordKind : uint8_t {
  Publish,  ///< A new version of a configuration.
  Attach,   ///< A version is bound to a selector.
  Detach,   ///< An attachment ends; nobody moves back.
  Chunk,    ///< A piece of a record that is larger than the platform takes.
  Retired,  ///< Was a live node's address; skipped, its number stays taken.
  Snapshot, ///< The fold's state at an offset.
  Drain,    ///< A VM or a service stops taking new work, or takes it again.
};

constexpr base::EnumName<RecordKind> RecordKindNames[] = {
    {RecordKind::Publish, "publish"}, {RecordKind::Attach, "attach"},
    {RecordKind::Detach, "detach"},   {RecordKind::Chunk, "chunk"},
    {RecordKind::Retired, "beacon"},  {RecordKind::Snapshot, "snapshot"},
    {RecordKind::Drain, "drain"},
};

/// Who made a change and from where; kept in the audit trail.
struct Author {
  std::string Team;
  std::string Actor;   ///< The token's name.
  std::string Address; ///< The IP number that the change came from.
};

/// One decoded record. It is JSON on the log; the body's keys depend on the
/// kind.
struct Record {
  std::string Id; ///< Unique; the same id counts once.
  RecordKind Kind = RecordKind::Publish;
  Author By;
  boost::json::value Body;
};

/// The largest record that the platform takes, in bytes.
constexpr size_t MaximumRecordBytes = 64UL << 10;

/// Fails with RecordMalformed or RecordTooLarge.
std::optional<Record> decodeRecord(std::string_view bytes,
                                   base::LastReason &reason);

/// As above with another limit, for a record that was put together from chunks.
std::optional<Record> decodeRecord(std::string_view bytes, size_t maximumBytes,
                                   base::LastReason &reason);

/// Returns the record's bytes for the log.
std::string encodeRecord(const Record &record);

} // namespace radishcross::log
