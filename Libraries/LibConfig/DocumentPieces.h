#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::config {

/// A document cut into canonical texts: one for each key of the top object and
/// one for each element of an array below it. Versions of one configuration
/// share most of their pieces, so that a change is a few pieces.
using DocumentPieces = std::vector<std::string>;

/// Cuts \p document, an object; equal documents have equal pieces.
DocumentPieces splitDocument(const boost::json::value &document);

/// Puts pieces together again; empty when they are no sound cut.
std::optional<boost::json::value> joinDocument(const DocumentPieces &pieces);

/// Returns a hash of the document that \p pieces stand for.
uint64_t hashOf(const DocumentPieces &pieces);

/// Replaces some pieces by others.
struct PieceEdit {
  uint32_t Position = 0; ///< Position in the older pieces.
  uint32_t Removed = 0;  ///< Number of pieces taken out there.
  DocumentPieces Inserted;
};

/// Returns the edits, in ascending order, that lead from \p older to \p newer.
std::vector<PieceEdit> computeEdits(const DocumentPieces &older,
                                    const DocumentPieces &newer);

/// Applies \p edits; returns false, with \p pieces undefined, when they do not
/// fit.
bool applyEdits(DocumentPieces &pieces, const std::vector<PieceEdit> &edits);

} // namespace radishcross::config
