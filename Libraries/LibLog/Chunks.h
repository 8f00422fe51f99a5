#pragma once

#include <LibLog/Record.h>
#include <LibLog/RecordBodies.h>
#include <LibLog/StateHash.h>

#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::log {

/// Returns the bytes to append for \p record, in order: one record, or its
/// chunks if it is larger than MaximumRecordBytes. The ids of the chunks are
/// derived from the record's id, so a repeated append is applied only once.
/// Empty if the record exceeds MaximumAssembledBytes.
std::vector<std::string> splitRecord(const Record &record);

/// Reassembles chunked records. Limits the number of incomplete records, the
/// bytes of a record and the number of offsets over which its chunks may be
/// spread.
class ChunkAssembler {
public:
  /// Result of adding a chunk.
  struct Result {
    enum class Kind : uint8_t { Waiting, Complete, Refused };
    Kind What = Kind::Waiting;
    std::string Bytes;  ///< The assembled record, if complete.
    std::string Reason; ///< Why it was refused.
  };

  /// Adds a chunk that was read at offset \p at.
  Result take(const ChunkBody &chunk, Offset at);

  /// Drops incomplete records whose first chunk is more than
  /// ChunkLifetimeOffsets before \p at, and returns their ids.
  std::vector<std::string> expire(Offset at);

  uint64_t hash() const { return ElementHashes.value(); }
  boost::json::value save() const;
  static std::optional<ChunkAssembler> load(const boost::json::value &from,
                                            base::LastReason &reason);

private:
  struct PartialRecord {
    Offset BeganAt = 0;
    uint32_t Parts = 0;
    size_t Bytes = 0;
    std::map<uint32_t, std::string> Pieces;
  };

  void insert(const std::string &of, PartialRecord &set, uint32_t part,
              const std::string &bytes);
  void drop(const std::string &of);

  std::map<std::string, PartialRecord> Sets;
  StateHash ElementHashes;
};

} // namespace radishcross::log
