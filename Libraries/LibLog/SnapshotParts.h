#pragma once

#include <LibLog/Fold.h>
#include <LibLog/FoldHashVerifier.h>
#include <LibLog/Record.h>
#include <LibLog/RecordBodies.h>

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace radishcross::log {

/// Returns the records that hold \p fold's state, in order. Their ids follow
/// from the offset, the hash and \p by, so that a part appended twice counts
/// once and two writers do not disturb one another.
std::vector<Record> makeSnapshotParts(const Fold &fold, const Author &by);

/// A complete snapshot from the log whose state has the hash that it claims.
struct LogSnapshot {
  Fold State;
  std::string Writer;     ///< Actor of the author.
  Offset FirstPartAt = 0; ///< Where its oldest part stands in the log.
};

/// Puts the parts of snapshots together as they are read from the log. Parts
/// of several writers may interleave. Bounded in sets and bytes; the set whose
/// state is oldest gives way.
class SnapshotAssembler {
public:
  /// Takes one record read at \p at. Returns a snapshot when this part was the
  /// last one missing and the state is sound; a state that is not has left its
  /// SnapshotMismatch in \p reason.
  std::optional<LogSnapshot> take(const Record &record, Offset at,
                                  base::LastReason &reason);

private:
  /// Tells snapshots apart.
  struct Key {
    Offset At = 0;
    uint64_t Hash = 0;
    std::string Writer;

    bool operator<(const Key &other) const {
      return std::tie(At, Hash, Writer) <
             std::tie(other.At, other.Hash, other.Writer);
    }
  };
  struct PartialSnapshot {
    uint32_t Parts = 0;
    Offset FirstPartAt = 0;
    size_t Bytes = 0;
    std::map<uint32_t, std::string> Pieces;
  };

  std::optional<LogSnapshot> finish(const Key &key, const PartialSnapshot &set,
                                    base::LastReason &reason);

  std::map<Key, PartialSnapshot> Sets;
};

} // namespace radishcross::log
