#pragma once

#include <LibLog/Record.h>

#include <deque>
#include <vector>

namespace radishcross::fleet {

/// The latest records of the log, kept to serve peers that lack them. Bounded
/// in number and bytes; the oldest go first.
class RecordStore {
public:
  static constexpr size_t MaximumRecords = 4096;
  static constexpr size_t MaximumBytes = 8UL << 20;

  /// Adds a record; one that does not follow the newest starts the store anew.
  void add(const log::StoredRecord &record);

  /// Tells whether the record at \p from is kept or is the next to come.
  bool covers(log::Offset from) const;

  /// Returns records from \p from on, at least one when there is one, and
  /// otherwise at most \p maximumBytes of them.
  std::vector<log::StoredRecord> slice(log::Offset from,
                                       size_t maximumBytes) const;

private:
  std::deque<log::StoredRecord> Records;
  size_t Bytes = 0;
};

} // namespace radishcross::fleet
