#pragma once

#include <LibLog/Record.h>

#include <string_view>

namespace radishcross::log {

/// Returns the bytes by which nodes may pass \p record on to one another. A
/// part of a snapshot becomes empty: it changes nothing in a fold but the
/// offset, as an empty record does, and only a node that reads the log itself
/// has a use for it. All other records are passed on as they are.
std::string_view gossipForm(const StoredRecord &record);

} // namespace radishcross::log
