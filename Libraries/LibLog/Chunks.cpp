#include <LibLog/BodyReader.h>
#include <LibLog/Chunks.h>
#include <LibLog/FoldLimits.h>
#include <LibLog/RecordId.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace radishcross::log {

namespace {

constexpr uint64_t ChunkKind = 2;

/// Quoting at most doubles the bytes of a chunk, and its envelope needs less
/// than the rest.
constexpr size_t ChunkBytes = (MaximumRecordBytes - (4UL << 10)) / 2;

bool isContinuation(char c) {
  return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

/// Returns the end of the chunk that starts at \p start, without splitting a
/// UTF-8 character.
size_t chunkEnd(std::string_view bytes, size_t start) {
  size_t end = std::min(start + ChunkBytes, bytes.size());
  while (end < bytes.size() && isContinuation(bytes[end]))
    --end;
  return end;
}

uint64_t pieceHash(const std::string &of, Offset beganAt, uint32_t part,
                   const std::string &bytes) {
  return ElementHash(ChunkKind)
      .text(of)
      .number(beganAt)
      .number(part)
      .text(bytes)
      .value();
}

ChunkAssembler::Result refuse(std::string reason) {
  return {ChunkAssembler::Result::Kind::Refused, {}, std::move(reason)};
}

} // namespace

std::vector<std::string> splitRecord(const Record &record) {
  std::string whole = encodeRecord(record);
  if (whole.size() <= MaximumRecordBytes)
    return {std::move(whole)};
  if (whole.size() > MaximumAssembledBytes)
    return {};
  std::vector<std::string_view> pieces;
  for (size_t at = 0; at < whole.size();) {
    size_t end = chunkEnd(whole, at);
    pieces.push_back(std::string_view(whole).substr(at, end - at));
    at = end;
  }
  std::vector<std::string> out;
  auto parts = static_cast<uint32_t>(pieces.size());
  for (uint32_t i = 0; i < parts; ++i)
    out.push_back(
        encodeRecord(makeChunk(record.Id + "#" + std::to_string(i), record.By,
                               {record.Id, i, parts, std::string(pieces[i])})));
  return out;
}

void ChunkAssembler::insert(const std::string &of, PartialRecord &set,
                            uint32_t part, const std::string &bytes) {
  if (!set.Pieces.emplace(part, bytes).second)
    return;
  set.Bytes += bytes.size();
  ElementHashes.add(pieceHash(of, set.BeganAt, part, bytes));
}

void ChunkAssembler::drop(const std::string &of) {
  auto it = Sets.find(of);
  for (const auto &[part, bytes] : it->second.Pieces)
    ElementHashes.remove(pieceHash(of, it->second.BeganAt, part, bytes));
  Sets.erase(it);
}

ChunkAssembler::Result ChunkAssembler::take(const ChunkBody &chunk, Offset at) {
  if (chunk.Parts > MaximumChunks)
    return refuse("found " + std::to_string(chunk.Parts) +
                  " parts, expected at most " + std::to_string(MaximumChunks));
  auto it = Sets.find(chunk.Of);
  if (it == Sets.end() && Sets.size() == MaximumChunkSets)
    return refuse("too many records are incomplete");
  if (it == Sets.end())
    it = Sets.emplace(chunk.Of, PartialRecord{at, chunk.Parts, 0, {}}).first;
  auto &set = it->second;
  if (set.Parts != chunk.Parts)
    return refuse("the number of parts differs from that of an earlier chunk");
  if (set.Bytes + chunk.Bytes.size() > MaximumAssembledBytes)
    return refuse("the record is over " +
                  std::to_string(MaximumAssembledBytes) + " bytes");
  insert(chunk.Of, set, chunk.Part, chunk.Bytes);
  if (set.Pieces.size() < set.Parts)
    return {};
  Result out{Result::Kind::Complete, {}, {}};
  for (const auto &[part, bytes] : set.Pieces)
    out.Bytes += bytes;
  drop(chunk.Of);
  return out;
}

std::vector<std::string> ChunkAssembler::expire(Offset at) {
  std::vector<std::string> out;
  for (const auto &[of, set] : Sets)
    if (set.BeganAt + ChunkLifetimeOffsets < at)
      out.push_back(of);
  for (const auto &it : out)
    drop(it);
  return out;
}

boost::json::value ChunkAssembler::save() const {
  boost::json::array out;
  for (const auto &[of, set] : Sets) {
    boost::json::array pieces;
    for (const auto &[part, bytes] : set.Pieces)
      pieces.push_back(boost::json::object{{"part", part}, {"bytes", bytes}});
    out.push_back(boost::json::object{{"of", of},
                                      {"began_at", set.BeganAt},
                                      {"parts", set.Parts},
                                      {"pieces", std::move(pieces)}});
  }
  return out;
}

std::optional<ChunkAssembler>
ChunkAssembler::load(const boost::json::value &from, base::LastReason &reason) {
  const auto *list = from.if_array();
  if (!list || list->size() > MaximumChunkSets)
    return reason.fail(base::ResultCode::RecordMalformed,
                       "chunks: expected an array within the size limit");
  ChunkAssembler out;
  for (const auto &it : *list) {
    BodyReader reader(it);
    auto of = reader.text("of", MaximumRecordIdBytes);
    PartialRecord set;
    set.BeganAt = reader.number("began_at");
    set.Parts = static_cast<uint32_t>(reader.number("parts", MaximumChunks));
    const auto &pieces = reader.list("pieces");
    if (!reader.finish(reason))
      return std::nullopt;
    auto &held = out.Sets.emplace(of, std::move(set)).first->second;
    for (const auto &piece : pieces) {
      BodyReader pieceReader(piece);
      auto part =
          static_cast<uint32_t>(pieceReader.number("part", MaximumChunks));
      auto bytes = pieceReader.text("bytes", MaximumRecordBytes);
      if (part >= held.Parts)
        pieceReader.fail("part", "a number below \"parts\"");
      if (!pieceReader.finish(reason))
        return std::nullopt;
      out.insert(of, held, part, bytes);
    }
  }
  return out;
}

} // namespace radishcross::log
