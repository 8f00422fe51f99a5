#include <LibLog/FoldLimits.h>
#include <LibLog/SnapshotParts.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;

constexpr size_t MaximumSets = 4;
constexpr size_t MaximumSnapshotBytes = 64UL << 20;
constexpr size_t MaximumSnapshotDepth = 32;

/// Quoting at most doubles the text in a record; the rest is for the envelope.
constexpr size_t PartBytes = (MaximumRecordBytes - (4UL << 10)) / 2;

bool isContinuation(char c) {
  return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

std::vector<std::string_view> cutText(std::string_view text) {
  std::vector<std::string_view> out;
  while (!text.empty()) {
    size_t end = std::min(PartBytes, text.size());
    while (end < text.size() && isContinuation(text[end]))
      --end;
    out.push_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  return out;
}

} // namespace

std::vector<Record> makeSnapshotParts(const Fold &fold, const Author &by) {
  std::string text = schema::canonicalJson(fold.save());
  auto pieces = cutText(text);
  auto parts = static_cast<uint32_t>(pieces.size());
  std::string stem = "snapshot-" + std::to_string(fold.offset()) + "-" +
                     std::to_string(fold.hash()) + "-" + by.Actor + "-";
  std::vector<Record> out;
  for (uint32_t i = 0; i < parts; ++i)
    out.push_back(makeSnapshot(
        stem + std::to_string(i), by,
        {fold.offset(), fold.hash(), i, parts, std::string(pieces[i])}));
  return out;
}

std::optional<LogSnapshot> SnapshotAssembler::take(const Record &record,
                                                   Offset at,
                                                   base::LastReason &reason) {
  auto body = decodeSnapshot(record.Body, reason);
  if (!body)
    return std::nullopt;
  Key key{body->At, body->Hash, record.By.Actor};
  auto it = Sets.try_emplace(key).first;
  auto &set = it->second;
  if (set.Parts == 0) {
    set.Parts = body->Parts;
    set.FirstPartAt = at;
  }
  bool fits = set.Parts == body->Parts &&
              set.Bytes + body->Document.size() <= MaximumSnapshotBytes;
  if (!fits) {
    Sets.erase(it);
    return reason.fail(ResultCode::SnapshotMismatch,
                       "the parts of a snapshot do not match");
  }
  if (set.Pieces.emplace(body->Part, body->Document).second)
    set.Bytes += body->Document.size();
  if (set.Pieces.size() < set.Parts) {
    if (Sets.size() > MaximumSets)
      Sets.erase(Sets.begin());
    return std::nullopt;
  }
  auto out = finish(key, set, reason);
  Sets.erase(it);
  return out;
}

std::optional<LogSnapshot> SnapshotAssembler::finish(const Key &key,
                                                     const PartialSnapshot &set,
                                                     base::LastReason &reason) {
  std::string text;
  for (const auto &[part, piece] : set.Pieces)
    text += piece;
  auto document =
      schema::parseStrictJson(text,
                              {.MaximumBytes = MaximumSnapshotBytes,
                               .MaximumDepth = MaximumSnapshotDepth},
                              reason);
  if (!document)
    return reason.fail(ResultCode::SnapshotMismatch, reason.text());
  auto fold = Fold::load(*document, reason);
  if (!fold)
    return std::nullopt;
  if (fold->offset() != key.At || fold->hash() != key.Hash)
    return reason.fail(ResultCode::SnapshotMismatch,
                       "the state of the snapshot at offset " +
                           std::to_string(key.At) + " does not match its hash");
  return LogSnapshot{std::move(*fold), key.Writer, set.FirstPartAt};
}

} // namespace radishcross::log
