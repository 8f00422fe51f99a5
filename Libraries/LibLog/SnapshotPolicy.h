#pragma once

#include <LibBase/Clock.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::log {

/// What a node knows about the log when it decides.
struct LogWindow {
  Offset First = 1; ///< The oldest offset that the platform keeps.
  Offset End = 1;   ///< One past the newest.
};

/// Decides when a node writes a snapshot of the fold into the log. One is due
/// when the log has grown by a number of records since the last, after a time
/// in which it grew at all, or when the last one stands in the older half of
/// what the platform keeps, so long before it can expire. The first is due
/// sooner, because the retention is not known yet. The candidates take
/// turns in rendezvous order, by records and by time, and stay silent once a
/// snapshot appears. Two writers, or one that was paused past its turn, cost
/// bytes and nothing else.
class SnapshotPolicy {
public:
  explicit SnapshotPolicy(std::string self) : Self(std::move(self)) {}

  /// Notes a complete snapshot in the log of the state at \p at, whose oldest
  /// part stands at \p firstPartAt.
  void snapshotSeen(Offset at, Offset firstPartAt, base::TimePoint now);

  /// Tells whether this node should write one now. \p candidates are the ids
  /// of all nodes that may, this one among them; \p offset is that of its fold.
  bool shouldWrite(Offset offset, const LogWindow &window,
                   const std::vector<std::string> &candidates,
                   base::TimePoint now);

  /// Notes that this node has begun to append one; it stays silent until that
  /// one is seen or has had time enough to be.
  void writing(base::TimePoint now);

private:
  bool isDue(Offset offset, const LogWindow &window, base::TimePoint now) const;
  size_t rank(const std::vector<std::string> &candidates) const;

  std::string Self;
  Offset LastAt = 0;          ///< State of the newest snapshot seen.
  Offset LastFirstPartAt = 0; ///< 0: none seen.
  std::optional<base::TimePoint> LastSeen; ///< Or when this node began to look.
  std::optional<base::TimePoint> SilentUntil;
  std::optional<base::TimePoint> DueSince;
  Offset DueAt = 0; ///< Offset at which one became due.
};

} // namespace radishcross::log
