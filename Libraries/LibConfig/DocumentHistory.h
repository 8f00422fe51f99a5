#pragma once

#include <LibConfig/DocumentPieces.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace radishcross::config {

/// The documents of consecutive versions of one configuration. The oldest is
/// kept whole and each later one as its edits to the one before, so memory
/// follows the size of the changes.
class DocumentHistory {
public:
  /// Adds the document of \p number, which is above every number kept.
  void append(uint64_t number, const DocumentPieces &pieces);

  /// Forgets the oldest document; nothing when there is none.
  void dropOldest();

  bool empty() const { return Revisions.empty(); }
  size_t size() const { return Revisions.size(); }

  /// Returns the oldest number kept, or 0.
  uint64_t oldest() const { return empty() ? 0 : Revisions.front().Number; }

  /// Returns the pieces of \p number, or nothing when it is not kept.
  std::optional<DocumentPieces> find(uint64_t number) const;

  /// Calls \p visit for every document kept, the oldest first.
  void forEach(
      const std::function<void(uint64_t number, const DocumentPieces &pieces)>
          &visit) const;

  /// Returns the history as JSON, as small as its changes.
  boost::json::value save() const;

  /// Reads what save() gave; empty for anything that is not sound.
  static std::optional<DocumentHistory> load(const boost::json::value &from);

private:
  struct Revision {
    uint64_t Number = 0;
    std::vector<PieceEdit> Edits; ///< To the step before; the first's is whole.
  };

  std::deque<Revision> Revisions;
  DocumentPieces NewestPieces; ///< The pieces of the last step.
};

} // namespace radishcross::config
