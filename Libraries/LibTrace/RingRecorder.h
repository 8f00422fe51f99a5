#pragma once

#include <LibTrace/Recorder.h>
#include <LibTrace/TraceText.h>

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace radishcross::trace {

/// Memory limits of a RingRecorder.
struct RingRecorderLimits {
  size_t Entries = 65536;
  size_t TextBytes = 8UL << 20;
};

/// Keeps the newest entries of one node in bounded memory. When either limit is
/// reached the oldest entries are dropped; an entry whose text alone exceeds
/// the limit is dropped and counted.
class RingRecorder final : public Recorder {
public:
  explicit RingRecorder(const RingRecorderLimits &limits);

  void record(Entry entry) override;

  /// Returns the entries at or after \p fromMicroseconds that can be replayed,
  /// oldest first. A module whose set-up entry holds its whole state starts
  /// with the newest set-up entry at or before that time, else with the first
  /// one after it, and never before the start of a module whose state it reads.
  /// Any other module starts with its first entry, and is left out when that
  /// entry was dropped. LeftOut names the modules with missing entries.
  Trace recording(const std::string &node, uint64_t seed,
                  int64_t fromMicroseconds) const;

  /// Returns only the entries of recording().
  std::vector<Entry> since(int64_t fromMicroseconds) const {
    return recording("", 0, fromMicroseconds).Entries;
  }

  size_t size() const { return Buffer.size(); }
  size_t textBytes() const { return TextBytes; }

  /// Returns the number of entries dropped because of the limits.
  uint64_t dropped() const { return Dropped; }

private:
  void dropOldest();

  /// Returns the index of the set-up entry with which \p source starts,
  /// searching from index \p first; size() when there is none.
  size_t findSetUp(Module source, int64_t fromMicroseconds, size_t first) const;

  /// Returns the index of the first replayable entry of each module.
  std::array<size_t, std::size(ModuleNames)>
  firstIndexes(int64_t fromMicroseconds) const;

  void countDropped(const Entry &entry);

  RingRecorderLimits Limits;
  std::deque<Entry> Buffer; ///< Oldest first; not preallocated.
  size_t TextBytes = 0;
  uint64_t Dropped = 0;
  std::array<uint64_t, std::size(ModuleNames)> DroppedByModule{};
};

} // namespace radishcross::trace
