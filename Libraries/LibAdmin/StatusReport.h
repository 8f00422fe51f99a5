#pragma once

#include <LibAdmin/NodeControl.h>

#include <boost/json/object.hpp>
#include <string_view>

namespace radishcross::admin {

/// Returns the status of this node: {"node", "data_centre", "region", "ready",
/// "offset", "fold_hash", "configurations": [{"configuration", "version",
/// "since_unix_ms", "wanted", "holdover", "waiting": {"version", "code",
/// "name", "reason"}}]}. "wanted" is the version attached to this node, 0 for
/// none. "external_confirmed_age_ms" is present if the external configuration
/// held is known to have been the newest that long ago. Only \p configuration
/// is listed unless it is empty.
boost::json::object statusReport(const NodeControl &node,
                                 std::string_view configuration);

/// Returns the highest version of \p configuration that is attached to \p node;
/// 0 for none.
uint64_t wantedVersion(const log::Fold &fold, const fleet::NodeIdentity &node,
                       std::string_view configuration);

} // namespace radishcross::admin
