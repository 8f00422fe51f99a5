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

/// One record as the platform stores it.
struct StoredRecord {
  Offset At = 0;
  std::string Bytes;
};

enum class RecordKind : uint8_t {
  Publish,  ///< Creates a new version of a configuration.
  Attach,   ///< Attaches a version to the nodes of a selector.
  Detach,   ///< Removes an attachment; nodes keep their version.
  Chunk,    ///< Part of a record above MaximumRecordBytes.
  Retired,  ///< Formerly a live node's address; ignored, number reserved.
  Snapshot, ///< Part of the fold's state at an offset.
  Drain,    ///< A VM or service stops or resumes taking new work.
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
  std::string Address; ///< IP address that the change came from.
};

/// One decoded record. It is stored as JSON; the keys of the body depend on the
/// kind.
struct Record {
  std::string Id; ///< Unique; a repeated id is applied only once.
  RecordKind Kind = RecordKind::Publish;
  Author By;
  boost::json::value Body;
};

/// Largest record that the platform accepts, in bytes.
constexpr size_t MaximumRecordBytes = 64UL << 10;

/// Decodes a record. Fails with RecordMalformed or RecordTooLarge.
std::optional<Record> decodeRecord(std::string_view bytes,
                                   base::LastReason &reason);

/// As above with another size limit, for a record assembled from chunks.
std::optional<Record> decodeRecord(std::string_view bytes, size_t maximumBytes,
                                   base::LastReason &reason);

/// Returns the record's bytes as they are appended to the log.
std::string encodeRecord(const Record &record);

} // namespace radishcross::log
