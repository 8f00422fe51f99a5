#pragma once

#include <LibBase/Clock.h>
#include <LibLog/Fold.h>
#include <LibLog/FoldWitness.h>
#include <LibLog/SnapshotParts.h>
#include <LibLog/SnapshotPolicy.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::log {

/// All that a node that reads the log itself does about snapshots: it watches
/// for those of others, judges them, writes one in its turn, and offers the
/// newest to a node without state.
class SnapshotKeeper {
public:
  /// A sound snapshot and what is known about it.
  struct Found {
    LogSnapshot Snapshot;
    Belief Trust = Belief::Unconfirmed;
  };

  explicit SnapshotKeeper(std::string self);

  /// Takes a record as it was read from the log, in offset order.
  void recordRead(const StoredRecord &record, base::TimePoint now);

  /// Notes the hash of this node's own, confirmed fold after a record.
  void foldAdvanced(Offset at, uint64_t hash);

  /// Notes what another node's digest said.
  void peerSaid(std::string_view node, Offset at, uint64_t hash);

  /// Returns the bytes to append, in order, when it is this node's turn to
  /// write a snapshot of \p fold; else nothing.
  std::vector<std::string> write(const Fold &fold, const LogWindow &window,
                                 const std::vector<std::string> &candidates,
                                 const Author &by, base::TimePoint now);

  /// Returns the newest sound snapshot that nothing refutes, and forgets it.
  std::optional<Found> takeNewest();

  /// Returns how many complete snapshots were not sound or were refuted: an
  /// alarm.
  uint64_t rejected() const { return Rejected; }

private:
  FoldWitness Witness;
  SnapshotPolicy Policy;
  SnapshotAssembler Assembler;
  std::optional<LogSnapshot> Newest;
  uint64_t Rejected = 0;
};

} // namespace radishcross::log
