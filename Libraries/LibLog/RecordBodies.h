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

/// An attachment that a publish makes in the same step.
struct SelectorBinding {
  std::string Name;
  config::Selector NodeSelector;
};

/// Body of a publish: {"configuration", "base", "content", "attach",
/// "accepted_impact"}. "attach" is one {"name", "selector"} or a list of them.
struct PublishBody {
  std::string Configuration;
  uint64_t Base = 0; ///< The version it was made from; 0 for a new line.
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
/// "document"}. The parts' texts, joined, are the saved fold as JSON.
struct SnapshotBody {
  Offset At = 0;     ///< The offset whose state it holds.
  uint64_t Hash = 0; ///< Fold::hash() at that offset.
  uint32_t Part = 0; ///< Counted from 0.
  uint32_t Parts = 1;
  std::string Document;
};

/// Body of a chunk of a larger record: {"of", "part", "parts", "bytes"}.
struct ChunkBody {
  std::string Of; ///< Id of the record that it is a part of.
  uint32_t Part = 0;
  uint32_t Parts = 1;
  std::string Bytes;
};

/// Each reads a record's body; fails with RecordMalformed or BadSelector.
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

/// Each builds a record with the id \p id, made by \p by.
Record makePublish(std::string id, Author by, const PublishBody &body);
Record makeAttach(std::string id, Author by, const AttachBody &body);
Record makeDetach(std::string id, Author by, const DetachBody &body);
Record makeDrain(std::string id, Author by, const DrainBody &body);
Record makeSnapshot(std::string id, Author by, const SnapshotBody &body);
Record makeChunk(std::string id, Author by, const ChunkBody &body);

} // namespace radishcross::log
