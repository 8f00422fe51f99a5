#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibFleet/Member.h>
#include <LibLog/KeyedStore.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::fleet {

/// A node's entry in the directory kept by the platform.
struct DirectoryEntry {
  NodeId Id;
  uint64_t Incarnation = 0;
  base::Address Gossip;
};

std::string encodeDirectoryEntry(const DirectoryEntry &entry);

/// Returns nothing and sets \p reason (RecordMalformed) if \p text is not an
/// entry.
std::optional<DirectoryEntry> decodeDirectoryEntry(std::string_view id,
                                                   std::string_view text,
                                                   base::LastReason &reason);

/// The node directory kept by the platform, where a starting node finds
/// addresses to join through; membership decides which nodes are alive. Each
/// write wakes all readers, so an entry whose address is still right is left
/// unchanged, also when its node has restarted or is down for a while.
class NodeDirectory {
public:
  /// How long a node must have been absent before its entry is dropped.
  static constexpr base::Duration DepartedRetention = std::chrono::minutes(5);

  explicit NodeDirectory(DirectoryEntry self) : Self(std::move(self)) {}

  /// Handles a record of the directory; returns the node's address if its entry
  /// is new or has changed.
  std::optional<base::Address> applyRecord(const log::KeyedRecord &record);

  /// Records that this node's entry has been written to the store.
  void written() { IsWritten = true; }

  /// Returns a node whose entry should be dropped: one that has not been in \p
  /// live for DepartedRetention. Only one node drops entries, the first by id
  /// of those responsible; \p isFirst is true if that is this node.
  std::optional<NodeId> entryToDrop(const std::set<NodeId> &live, bool isFirst,
                                    base::TimePoint now);

  /// Returns true if this node's entry is missing or has another address, and
  /// so must be written.
  bool mustWrite() const { return !IsWritten; }

  const DirectoryEntry &self() const { return Self; }
  const std::map<NodeId, DirectoryEntry> &entries() const { return Entries; }

private:
  /// How many odd entries are logged, each once: they are listed again and
  /// again.
  static constexpr size_t MaximumReported = 50;

  void report(const log::KeyedRecord &record, const base::LastReason &reason);

  DirectoryEntry Self;
  bool IsWritten = false;
  std::map<NodeId, DirectoryEntry> Entries;
  std::map<NodeId, base::TimePoint> AbsentSince;
  std::set<uint64_t> Reported; ///< Hashes of the odd entries logged.
};

} // namespace radishcross::fleet
