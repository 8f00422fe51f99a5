#pragma once

#include <LibConfig/DocumentPieces.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace radishcross::config {

/// The documents of consecutive versions of one configuration, delta-encoded:
/// the oldest is stored in full and each later one as edits to its predecessor,
/// so memory grows with the size of the changes, not of the documents.
class DocumentHistory {
public:
  /// Appends the document of version \p number, which must be above every
  /// number kept.
  void append(uint64_t number, const DocumentPieces &pieces);

  /// Removes the oldest document; does nothing when the history is empty.
  void dropOldest();

  bool empty() const { return Revisions.empty(); }
  size_t size() const { return Revisions.size(); }

  /// Returns the oldest version number kept, or 0 when the history is empty.
  uint64_t oldest() const { return empty() ? 0 : Revisions.front().Number; }

  /// Returns the document of version \p number, or nullopt when it is not kept.
  std::optional<DocumentPieces> find(uint64_t number) const;

  /// Calls \p visit for every document kept, oldest first.
  void forEach(
      const std::function<void(uint64_t number, const DocumentPieces &pieces)>
          &visit) const;

  /// Returns the history as JSON, in the delta-encoded form: [{"number": n,
  /// "edits": [{"at", "removed", "inserted"}]}].
  boost::json::value save() const;

  /// Reads the output of save(). Returns nullopt for malformed input, version
  /// numbers that do not ascend, or edits that do not apply.
  static std::optional<DocumentHistory> load(const boost::json::value &from);

private:
  struct Revision {
    uint64_t Number = 0;
    std::vector<PieceEdit> Edits; ///< To the previous revision; the first's are
                                  ///< to an empty document.
  };

  std::deque<Revision> Revisions;
  DocumentPieces NewestPieces; ///< The pieces of the last revision.
};

} // namespace radishcross::config
