#pragma once

#include <LibTrace/Recorder.h>

#include <cstddef>
#include <vector>

namespace radishcross::trace {

/// How much a Ring keeps.
struct RingLimits {
  size_t Entries = 65536;
  size_t TextBytes = 8UL << 20;
};

/// Keeps the newest entries of one node in bounded memory. The oldest entries
/// go first when either limit is met; an entry whose text alone is over the
/// limit is dropped and counted.
class Ring final : public Recorder {
public:
  explicit Ring(const RingLimits &limits);

  void record(Entry entry) override;

  /// Returns the entries at or after \p fromMicroseconds, oldest first. For
  /// each module they begin with its newest set-up entry at or before that
  /// time, or with its first set-up entry after it, since a player cannot run
  /// what came before: entries that have no set-up entry are left out. Those of
  /// a module that reads another's state begin after the other's.
  std::vector<Entry> since(int64_t fromMicroseconds) const;

  size_t size() const { return Count; }
  size_t textBytes() const { return TextBytes; }

  /// Returns the number of entries that were dropped for the limits.
  uint64_t dropped() const { return Dropped; }

private:
  const Entry &at(size_t i) const { return Slots[(First + i) % Slots.size()]; }
  void dropOldest();

  /// Returns where the entries of a module begin, looking from \p first on, or
  /// size() when it has no set-up entry there.
  size_t findSetUp(Module source, int64_t fromMicroseconds, size_t first) const;

  RingLimits Limits;
  std::vector<Entry> Slots; ///< Grows up to the limit, then wraps.
  size_t First = 0;
  size_t Count = 0;
  size_t TextBytes = 0;
  uint64_t Dropped = 0;
};

} // namespace radishcross::trace
