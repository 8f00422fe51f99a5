#pragma once

#include <LibBase/Clock.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::log {

/// Decides when a node writes a snapshot of the fold to the log. A snapshot is
/// due when the log has grown by a number of records since the last one, or
/// after some time if it has grown at all; the first one is due sooner. The
/// candidates take turns in the order of rendezvous hashing, by records and by
/// time, and write nothing once a snapshot appears. Two concurrent writers, or
/// one that was paused past its turn, only cost additional bytes.
class SnapshotPolicy {
public:
  explicit SnapshotPolicy(std::string self) : Self(std::move(self)) {}

  /// Records that the log contains a complete snapshot of the state at \p at.
  void snapshotSeen(Offset at, base::TimePoint now);

  /// Returns whether this node should write a snapshot now. \p candidates are
  /// the ids of all nodes that may write one, including this node; \p offset is
  /// the offset of this node's fold.
  bool shouldWrite(Offset offset, const std::vector<std::string> &candidates,
                   base::TimePoint now);

  /// Records that this node has started to append a snapshot. The node writes
  /// no other one until that one is seen or a timeout expires.
  void writeStarted(base::TimePoint now);

private:
  bool isDue(Offset offset, base::TimePoint now) const;
  size_t turnOf(const std::vector<std::string> &candidates) const;

  std::string Self;
  Offset LastAt = 0; ///< Offset of the newest snapshot seen; 0 for none.
  std::optional<base::TimePoint> LastSeen; ///< Or first shouldWrite() call.
  std::optional<base::TimePoint> SilentUntil;
  std::optional<base::TimePoint> DueSince;
  Offset DueAt = 0; ///< Offset at which a snapshot became due.
};

} // namespace radishcross::log
