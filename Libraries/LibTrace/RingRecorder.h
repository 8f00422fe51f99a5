#pragma once

#include <LibTrace/Recorder.h>
#include <LibTrace/TraceText.h>

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace radishcross::trace {

/// How much a Ring keeps.
struct RingRecorderLimits {
  size_t Entries = 65536;
  size_t TextBytes = 8UL << 20;
};

/// Keeps the newest entries of one node in bounded memory. The oldest entries
/// go first when either limit is met; an entry whose text alone is over the
/// limit is dropped and counted.
class RingRecorder final : public Recorder {
public:
  explicit RingRecorder(const RingRecorderLimits &limits);

  void record(Entry entry) override;

  /// Returns what can be replayed of the entries at or after
  /// \p fromMicroseconds, oldest first. A module that its set-up entry starts
  /// anew begins with the newest one at or before that time, else with the
  /// first one after it, and after that of a module whose state it reads. Any
  /// other module begins with its first entry, and is left out when the ring
  /// has dropped that. LeftOut names the modules of which entries are missing.
  Trace recording(const std::string &node, uint64_t seed,
                  int64_t fromMicroseconds) const;

  /// Returns the entries of recording() alone.
  std::vector<Entry> since(int64_t fromMicroseconds) const {
    return recording("", 0, fromMicroseconds).Entries;
  }

  size_t size() const { return Buffer.size(); }
  size_t textBytes() const { return TextBytes; }

  /// Returns the number of entries that were dropped for the limits.
  uint64_t dropped() const { return Dropped; }

private:
  void dropOldest();

  /// Returns where the entries of a module begin, looking from \p first on, or
  /// size() when it has no set-up entry there.
  size_t findSetUp(Module source, int64_t fromMicroseconds, size_t first) const;

  /// Returns where the entries of each module begin.
  std::array<size_t, std::size(ModuleNames)>
  firstIndexes(int64_t fromMicroseconds) const;

  void countDropped(const Entry &entry);

  RingRecorderLimits Limits;
  std::deque<Entry>
      Buffer; ///< Oldest first; takes only the memory that it needs.
  size_t TextBytes = 0;
  uint64_t Dropped = 0;
  std::array<uint64_t, std::size(ModuleNames)> DroppedByModule{};
};

} // namespace radishcross::trace
