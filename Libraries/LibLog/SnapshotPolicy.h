#pragma once

#include <LibBase/Clock.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::log {

/// Decides when a node writes a snapshot of the fold into the log. One is due
/// when the log has grown by a number of records since the last, or after a
/// time in which it grew at all; the first is due sooner. The candidates take
/// turns in rendezvous order, by records and by time, and stay silent once a
/// snapshot appears. Two writers, or one that was paused past its turn, cost
/// bytes and nothing else.
class SnapshotPolicy {
public:
  explicit SnapshotPolicy(std::string self) : Self(std::move(self)) {}

  /// Notes a complete snapshot in the log of the state at \p at.
  void snapshotSeen(Offset at, base::TimePoint now);

  /// Tells whether this node should write one now. \p candidates are the ids
  /// of all nodes that may, this one among them; \p offset is that of its fold.
  bool shouldWrite(Offset offset, const std::vector<std::string> &candidates,
                   base::TimePoint now);

  /// Notes that this node has begun to append one; it stays silent until that
  /// one is seen or has had time enough to be.
  void writeStarted(base::TimePoint now);

private:
  bool isDue(Offset offset, base::TimePoint now) const;
  size_t turnOf(const std::vector<std::string> &candidates) const;

  std::string Self;
  Offset LastAt = 0; ///< State of the newest snapshot seen; 0: none.
  std::optional<base::TimePoint> LastSeen; ///< Or when this node began to look.
  std::optional<base::TimePoint> SilentUntil;
  std::optional<base::TimePoint> DueSince;
  Offset DueAt = 0; ///< Offset at which one became due.
};

} // namespace radishcross::log
