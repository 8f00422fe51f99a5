#pragma once

#include <LibLog/Record.h>

#include <deque>
#include <vector>

namespace radishcross::fleet {

/// The latest records of the log, kept to serve peers that lack them. Bounded
/// in number and bytes; the oldest are evicted first.
class RecordStore {
public:
  static constexpr size_t MaximumRecords = 4096;
  static constexpr size_t MaximumBytes = 8UL << 20;

  /// Adds a record; the store is cleared first if the record does not directly
  /// follow the newest.
  void add(const log::StoredRecord &record);

  /// Returns true if the record at \p from is stored or is the next one
  /// expected.
  bool covers(log::Offset from) const;

  /// Returns consecutive records from \p from on, at most \p maximumBytes in
  /// total but at least one if there is any.
  std::vector<log::StoredRecord> slice(log::Offset from,
                                       size_t maximumBytes) const;

private:
  std::deque<log::StoredRecord> Records;
  size_t Bytes = 0;
};

} // namespace radishcross::fleet
