#include <LibBase/Hash.h>
#include <LibConfig/DocumentPieces.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace radishcross::config {

namespace {

using boost::json::value;

// The first byte of a piece gives its kind.
constexpr char ScalarMark = '=';  ///< A key and its value: ="key":value
constexpr char ListMark = '[';    ///< A key whose elements follow: ["key"
constexpr char ElementMark = ','; ///< One element: ,value

std::optional<value> parsePiece(std::string_view text) {
  boost::json::error_code ec;
  auto parsed = boost::json::parse(text, ec);
  if (ec)
    return std::nullopt;
  return parsed;
}

/// Parses the text `"key":value` and adds the pair to \p out. Returns false if
/// it is malformed or the key is there already.
bool addScalar(std::string_view text, boost::json::object &out) {
  auto parsed = parsePiece("{" + std::string(text) + "}");
  if (!parsed || parsed->get_object().size() != 1)
    return false;
  const auto &pair = *parsed->get_object().begin();
  return out.emplace(pair.key(), pair.value()).second;
}

} // namespace

DocumentPieces splitDocument(const value &document) {
  DocumentPieces out;
  const auto *object = document.if_object();
  if (!object)
    return out;
  std::vector<const boost::json::key_value_pair *> pairs;
  for (const auto &it : *object)
    pairs.push_back(&it);
  std::sort(pairs.begin(), pairs.end(),
            [](const auto *a, const auto *b) { return a->key() < b->key(); });
  for (const auto *it : pairs) {
    std::string key = boost::json::serialize(it->key());
    const auto *list = it->value().if_array();
    if (!list) {
      out.push_back(ScalarMark + key + ":" +
                    schema::canonicalJson(it->value()));
      continue;
    }
    out.push_back(ListMark + key);
    for (const auto &element : *list)
      out.push_back(ElementMark + schema::canonicalJson(element));
  }
  return out;
}

std::optional<value> joinDocument(const DocumentPieces &pieces) {
  boost::json::object out;
  boost::json::array *list = nullptr;
  for (const auto &piece : pieces) {
    if (piece.empty())
      return std::nullopt;
    auto text = std::string_view(piece).substr(1);
    if (piece[0] == ScalarMark) {
      list = nullptr;
      if (!addScalar(text, out))
        return std::nullopt;
      continue;
    }
    auto parsed = parsePiece(text);
    if (!parsed)
      return std::nullopt;
    if (piece[0] == ElementMark && list) {
      list->push_back(std::move(*parsed));
      continue;
    }
    if (piece[0] != ListMark || !parsed->is_string())
      return std::nullopt;
    auto [it, isNew] = out.emplace(parsed->get_string(), boost::json::array());
    if (!isNew)
      return std::nullopt;
    list = &it->value().get_array();
  }
  return value(std::move(out));
}

uint64_t hashOf(const DocumentPieces &pieces) {
  uint64_t out = pieces.size();
  for (const auto &it : pieces)
    out = base::hash64(it, out);
  return out;
}

std::vector<PieceEdit> computeEdits(const DocumentPieces &older,
                                    const DocumentPieces &newer) {
  std::unordered_multimap<std::string_view, size_t> places;
  for (size_t i = 0; i < older.size(); ++i)
    places.emplace(older[i], i);
  std::vector<PieceEdit> out;
  size_t i = 0;
  auto editAt = [&](size_t at) -> PieceEdit & {
    bool extends =
        !out.empty() && out.back().Position + out.back().Removed == at;
    if (!extends)
      out.push_back({static_cast<uint32_t>(at), 0, {}});
    return out.back();
  };
  for (const auto &piece : newer) {
    if (i < older.size() && older[i] == piece) {
      ++i;
      continue;
    }
    // If an equal piece follows in the older document, everything up to the
    // nearest one was removed; otherwise this piece was inserted.
    size_t next = older.size();
    auto [first, last] = places.equal_range(piece);
    for (auto it = first; it != last; ++it)
      if (it->second > i)
        next = std::min(next, it->second);
    if (next == older.size()) {
      editAt(i).Inserted.push_back(piece);
      continue;
    }
    editAt(i).Removed += static_cast<uint32_t>(next - i);
    i = next + 1;
  }
  if (i < older.size())
    editAt(i).Removed += static_cast<uint32_t>(older.size() - i);
  return out;
}

bool applyEdits(DocumentPieces &pieces, const std::vector<PieceEdit> &edits) {
  DocumentPieces out;
  size_t at = 0;
  for (const auto &edit : edits) {
    if (edit.Position < at || edit.Position > pieces.size() ||
        edit.Removed > pieces.size() - edit.Position)
      return false;
    for (; at < edit.Position; ++at)
      out.push_back(std::move(pieces[at]));
    out.insert(out.end(), edit.Inserted.begin(), edit.Inserted.end());
    at += edit.Removed;
  }
  for (; at < pieces.size(); ++at)
    out.push_back(std::move(pieces[at]));
  pieces = std::move(out);
  return true;
}

} // namespace radishcross::config
