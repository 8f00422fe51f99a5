#include <LibConfig/DocumentHistory.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace radishcross::config {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

array writeEdits(const std::vector<PieceEdit> &edits) {
  array out;
  for (const auto &it : edits) {
    array inserted(it.Inserted.begin(), it.Inserted.end());
    out.push_back(object{{"at", it.Position},
                         {"removed", it.Removed},
                         {"inserted", std::move(inserted)}});
  }
  return out;
}

std::optional<uint64_t> readNumber(const object &from, std::string_view key) {
  const auto *found = from.if_contains(key);
  if (!found || !(found->is_int64() || found->is_uint64()))
    return std::nullopt;
  boost::json::error_code ec;
  auto n = found->to_number<uint64_t>(ec);
  if (ec)
    return std::nullopt;
  return n;
}

const array *readList(const object &from, std::string_view key) {
  const auto *found = from.if_contains(key);
  return found ? found->if_array() : nullptr;
}

std::optional<PieceEdit> readEdit(const value &from) {
  const auto *edit = from.if_object();
  if (!edit)
    return std::nullopt;
  auto at = readNumber(*edit, "at");
  auto removed = readNumber(*edit, "removed");
  const auto *inserted = readList(*edit, "inserted");
  if (!at || !removed || !inserted || *at > UINT32_MAX || *removed > UINT32_MAX)
    return std::nullopt;
  PieceEdit out{
      static_cast<uint32_t>(*at), static_cast<uint32_t>(*removed), {}};
  for (const auto &it : *inserted) {
    if (!it.is_string())
      return std::nullopt;
    out.Inserted.emplace_back(it.get_string());
  }
  return out;
}

} // namespace

void DocumentHistory::append(uint64_t number, const DocumentPieces &pieces) {
  Revisions.push_back({number, computeEdits(NewestPieces, pieces)});
  NewestPieces = pieces;
}

void DocumentHistory::dropOldest() {
  if (Revisions.size() <= 1) {
    Revisions.clear();
    NewestPieces.clear();
    return;
  }
  DocumentPieces second;
  applyEdits(second, Revisions[0].Edits);
  applyEdits(second, Revisions[1].Edits);
  Revisions.pop_front();
  Revisions.front().Edits = computeEdits({}, second);
}

std::optional<DocumentPieces> DocumentHistory::find(uint64_t number) const {
  if (!empty() && Revisions.back().Number == number)
    return NewestPieces;
  DocumentPieces pieces;
  for (const auto &revision : Revisions) {
    applyEdits(pieces, revision.Edits);
    if (revision.Number == number)
      return pieces;
  }
  return std::nullopt;
}

void DocumentHistory::forEach(
    const std::function<void(uint64_t number, const DocumentPieces &pieces)>
        &visit) const {
  DocumentPieces pieces;
  for (const auto &revision : Revisions) {
    applyEdits(pieces, revision.Edits);
    visit(revision.Number, pieces);
  }
}

value DocumentHistory::save() const {
  array out;
  for (const auto &revision : Revisions)
    out.push_back(object{{"number", revision.Number},
                         {"edits", writeEdits(revision.Edits)}});
  return out;
}

std::optional<DocumentHistory> DocumentHistory::load(const value &from) {
  const auto *revisions = from.if_array();
  if (!revisions)
    return std::nullopt;
  DocumentHistory out;
  uint64_t last = 0;
  for (const auto &it : *revisions) {
    const auto *revision = it.if_object();
    if (!revision)
      return std::nullopt;
    auto number = readNumber(*revision, "number");
    const auto *edits = readList(*revision, "edits");
    if (!number || *number <= last || !edits)
      return std::nullopt;
    last = *number;
    Revision read{*number, {}};
    for (const auto &edit : *edits) {
      auto one = readEdit(edit);
      if (!one)
        return std::nullopt;
      read.Edits.push_back(std::move(*one));
    }
    if (!applyEdits(out.NewestPieces, read.Edits))
      return std::nullopt;
    out.Revisions.push_back(std::move(read));
  }
  return out;
}

} // namespace radishcross::config
