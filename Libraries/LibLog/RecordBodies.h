#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Selector.h>
#include <LibLog/Record.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::log {

/// An attachment that a publish creates in the same record.
struct SelectorBinding {
  std::string Name;
  config::Selector NodeSelector;
};

/// Body of a publish: {"configuration", "base", "content", "attach",
/// "accepted_impact"}. "attach" is one {"name", "selector"} or an array of
/// them.
struct PublishBody {
  std::string Configuration;
  uint64_t Base = 0; ///< The version it is based on; 0 for a new configuration.
  boost::json::value Content;
  std::vector<SelectorBinding> Attach;
  std::string AcceptedImpact;
};

/// Body of an attach: {"name", "configuration", "version", "selector"}.
struct AttachBody {
  std::string Name;
  std::string Configuration;
  uint64_t Version = 0;
  config::Selector NodeSelector;
};

/// Body of a detach: {"name"}.
struct DetachBody {
  std::string Name;
};

/// Body of a drain: {"what": "vm:ID" or "service:configuration/name", "on"}.
struct DrainBody {
  std::string What;
  bool On = true;
};

/// Body of one part of a snapshot: {"offset", "hash", "part", "parts",
/// "document"}. The concatenated documents of all parts are the saved fold as
/// JSON.
struct SnapshotBody {
  Offset At = 0;     ///< The offset of the saved state.
  uint64_t Hash = 0; ///< Fold::hash() at that offset.
  uint32_t Part = 0; ///< Counted from 0.
  uint32_t Parts = 1;
  std::string Document;
};

/// Body of a chunk of a larger record: {"of", "part", "parts", "bytes"}.
struct ChunkBody {
  std::string Of; ///< Id of the record that it belongs to.
  uint32_t Part = 0;
  uint32_t Parts = 1;
  std::string Bytes;
};

/// Decode the body of a record. Fail with RecordMalformed or BadSelector.
std::optional<PublishBody> decodePublish(const boost::json::value &body,
                                         base::LastReason &reason);
std::optional<AttachBody> decodeAttach(const boost::json::value &body,
                                       base::LastReason &reason);
std::optional<DetachBody> decodeDetach(const boost::json::value &body,
                                       base::LastReason &reason);
std::optional<DrainBody> decodeDrain(const boost::json::value &body,
                                     base::LastReason &reason);
std::optional<SnapshotBody> decodeSnapshot(const boost::json::value &body,
                                           base::LastReason &reason);
std::optional<ChunkBody> decodeChunk(const boost::json::value &body,
                                     base::LastReason &reason);

/// Build a record with the id \p id and the author \p by.
Record makePublish(std::string id, Author by, const PublishBody &body);
Record makeAttach(std::string id, Author by, const AttachBody &body);
Record makeDetach(std::string id, Author by, const DetachBody &body);
Record makeDrain(std::string id, Author by, const DrainBody &body);
Record makeSnapshot(std::string id, Author by, const SnapshotBody &body);
Record makeChunk(std::string id, Author by, const ChunkBody &body);

} // namespace radishcross::log
