#pragma once

#include <LibBase/Clock.h>

#include <cstddef>
#include <cstdint>

namespace radishcross::http {

/// Keeps the queue on this VM's link short. What is written beyond the link's
/// rate waits in buffers on the way, first in first out, so that a small answer
/// comes after every large one before it. The pacer reckons what the link has
/// still to send; large answers are written piece by piece as it becomes free,
/// small ones at once.
class LinkPacer {
public:
  /// Time for which the link may have bytes to send before the next piece is
  /// written. A small answer waits for as long, and the link must not run dry
  /// before a late timer has written the next piece.
  static constexpr base::Duration Allowance = std::chrono::milliseconds(25);
  /// Size of a piece, and of the largest answer that is written at once.
  static constexpr size_t PieceBytes = 16UL << 10;
  /// Backlog at which the link counts as full: a small answer behind it would
  /// take most of a nested call's time.
  static constexpr base::Duration FullBacklog = std::chrono::milliseconds(200);

  explicit LinkPacer(uint64_t bytesPerSecond) : Rate(bytesPerSecond) {}

  /// Reserves the link for \p bytes and returns how long to wait before they
  /// are written.
  base::Duration reserve(size_t bytes, base::TimePoint now);

  /// Counts bytes that wait for their turn to be written.
  void queued(size_t bytes) { QueuedBytes += bytes; }
  void dequeued(size_t bytes) { QueuedBytes -= bytes; }

  /// Counts answers that the target is still working on, by their expected
  /// size.
  void expect(size_t bytes) { ExpectedBytes += bytes; }
  void unexpect(size_t bytes) { ExpectedBytes -= bytes; }

  /// Returns the time until the link will have sent another answer of \p bytes,
  /// after all that waits and all that is expected.
  base::Duration timeUntilSent(size_t bytes, base::TimePoint now) const {
    return backlog(now) + timeFor(ExpectedBytes + bytes);
  }

  /// Returns the time that the link needs for all that is known to wait.
  base::Duration backlog(base::TimePoint now) const;

  /// Returns the backlog in permille of FullBacklog, at most 1000.
  uint32_t pressurePermille(base::TimePoint now) const;

private:
  base::Duration timeFor(size_t bytes) const;

  uint64_t Rate; ///< Bytes a second.
  base::TimePoint FreeAt{};
  size_t QueuedBytes = 0;
  size_t ExpectedBytes = 0;
};

} // namespace radishcross::http
