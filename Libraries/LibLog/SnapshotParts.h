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

/// Returns the records that contain \p fold's state, in order. Their ids are
/// derived from the offset, the hash and \p by, so that a part appended twice
/// is applied once and two writers do not interfere.
std::vector<Record> makeSnapshotParts(const Fold &fold, const Author &by);

/// A complete snapshot read from the log, with a state that matches its hash.
struct LogSnapshot {
  Fold State;
  std::string Writer;     ///< The author's Actor.
  Offset FirstPartAt = 0; ///< Offset of its oldest part in the log.
};

/// Reassembles snapshots from parts read from the log. Parts of several writers
/// may interleave. Limits the number of incomplete snapshots and the bytes of
/// each; the one with the oldest state is dropped first.
class SnapshotAssembler {
public:
  /// Adds the part in \p record, read at offset \p at. Returns the snapshot if
  /// this was the last missing part and the state is valid, otherwise nothing.
  /// Sets \p reason to SnapshotMismatch for an invalid state or for parts that
  /// do not match.
  std::optional<LogSnapshot> take(const Record &record, Offset at,
                                  base::LastReason &reason);

private:
  /// Identifies a snapshot.
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
