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

/// One node's entry in the directory that the platform keeps.
struct DirectoryEntry {
  NodeId Id;
  uint64_t Incarnation = 0;
  base::Address Gossip;
};

std::string encodeDirectoryEntry(const DirectoryEntry &entry);

/// Returns nothing where \p text is no entry.
std::optional<DirectoryEntry> decodeDirectoryEntry(std::string_view id,
                                                   std::string_view text,
                                                   base::LastReason &reason);

/// The nodes that the platform's directory names: where a node that starts
/// finds others. Who is alive, membership decides. A write wakes every reader,
/// so an entry that still leads to its node is left as it is, also when that
/// node has started again or stops for a while.
class NodeDirectory {
public:
  /// How long a node has to be gone before its entry is dropped.
  static constexpr base::Duration DepartedRetention = std::chrono::minutes(5);

  explicit NodeDirectory(DirectoryEntry self) : Self(std::move(self)) {}

  /// Takes a record of the directory; returns the address of a node that was
  /// not known there.
  std::optional<base::Address> take(const log::KeyedRecord &record);

  /// Notes that the store has taken this node's entry.
  void written() { IsWritten = true; }

  /// Returns the entry to drop: that of a node that none of \p live has been
  /// for DepartedRetention. The first by id of those that keep entries sees to
  /// it; \p isFirst tells whether that is this node.
  std::optional<NodeId> entryToDrop(const std::set<NodeId> &live, bool isFirst,
                                    base::TimePoint now);

  /// Tells whether this node's own entry has to be written: it is absent, or
  /// leads elsewhere.
  bool mustWrite() const { return !IsWritten; }

  const DirectoryEntry &self() const { return Self; }
  const std::map<NodeId, DirectoryEntry> &entries() const { return Entries; }

private:
  DirectoryEntry Self;
  bool IsWritten = false;
  std::map<NodeId, DirectoryEntry> Entries;
  std::map<NodeId, base::TimePoint> AbsentSince;
};

} // namespace radishcross::fleet
