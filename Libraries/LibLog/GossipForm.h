#pragma once

#include <LibLog/Record.h>

#include <string_view>

namespace radishcross::log {

/// Returns the bytes of \p record that nodes gossip to one another. A part of a
/// snapshot is replaced by an empty record: both change only the fold's offset,
/// and only a node that reads the log itself needs the part. So is a record
/// above MaximumRecordBytes, which no node decodes or takes from a peer. All
/// other records are returned unchanged.
std::string_view gossipForm(const StoredRecord &record);

} // namespace radishcross::log
