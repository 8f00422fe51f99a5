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
/// chunks where it is larger than the platform takes. The ids of the chunks
/// follow from the record's id, so a repeated append counts once. Empty when
/// the record is over the limit for chunks too.
std::vector<std::string> splitRecord(const Record &record);

/// Puts chunked records together. Bounded in sets, in bytes of a set and in
/// the number of offsets that a set may take.
class ChunkAssembler {
public:
  /// What a chunk led to.
  struct Result {
    enum class Kind : uint8_t { Waiting, Complete, Refused };
    Kind What = Kind::Waiting;
    std::string Bytes;  ///< The whole record, when complete.
    std::string Reason; ///< Why it was refused.
  };

  /// Takes a chunk read at \p at.
  Result take(const ChunkBody &chunk, Offset at);

  /// Forgets sets that began too long before \p at and returns their records'
  /// ids.
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
