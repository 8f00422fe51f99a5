#pragma once

#include <LibBase/Address.h>
#include <LibFleet/Member.h>
#include <LibLog/KeyedStore.h>

#include <map>
#include <optional>
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
/// finds others. Who is alive, membership decides.
class NodeDirectory {
public:
  explicit NodeDirectory(DirectoryEntry self) : Self(std::move(self)) {}

  /// Takes a record of the directory; returns the address of a node that was
  /// not known there.
  std::optional<base::Address> take(const log::KeyedRecord &record);

  /// Notes that the store has taken this node's entry.
  void written() { IsWritten = true; }

  /// Tells whether this node's own entry has to be written: it is absent, or
  /// names another process.
  bool mustWrite() const { return !IsWritten; }

  const DirectoryEntry &self() const { return Self; }
  const std::map<NodeId, DirectoryEntry> &entries() const { return Entries; }

private:
  DirectoryEntry Self;
  bool IsWritten = false;
  std::map<NodeId, DirectoryEntry> Entries;
};

} // namespace radishcross::fleet
