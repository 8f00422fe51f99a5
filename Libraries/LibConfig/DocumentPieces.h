#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::config {

/// A document split into canonical JSON texts: one for each key of the
/// top-level object and one for each element of an array directly below it.
/// Versions of one configuration share most of their pieces, so a change
/// touches only a few of them.
using DocumentPieces = std::vector<std::string>;

/// Splits \p document, which must be an object; returns no pieces for any other
/// value. Equal documents have equal pieces.
DocumentPieces splitDocument(const boost::json::value &document);

/// Reassembles a document from its pieces. Returns nullopt when a piece is
/// malformed, an element follows no list or a key is repeated.
std::optional<boost::json::value> joinDocument(const DocumentPieces &pieces);

/// Returns a hash of the document that \p pieces make up.
uint64_t hashOf(const DocumentPieces &pieces);

/// Replaces a run of consecutive pieces.
struct PieceEdit {
  uint32_t Position = 0; ///< Index into the older pieces.
  uint32_t Removed = 0;  ///< Number of pieces removed there.
  DocumentPieces Inserted;
};

/// Returns the edits, by ascending position, that turn \p older into \p newer.
std::vector<PieceEdit> computeEdits(const DocumentPieces &older,
                                    const DocumentPieces &newer);

/// Applies \p edits to \p pieces. Returns false, and leaves \p pieces
/// unspecified, when an edit overlaps the one before or is out of range.
bool applyEdits(DocumentPieces &pieces, const std::vector<PieceEdit> &edits);

} // namespace radishcross::config
