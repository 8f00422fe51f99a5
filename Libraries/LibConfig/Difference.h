#pragma once

#include <boost/json/value.hpp>
#include <cstddef>

namespace radishcross::config {

/// Returns the structural difference between two versions' documents:
/// {"services": {"added": [], "removed": [], "changed": {name: {key:
/// [older, newer]}}}, "routes": {...}, "limits": {"changed": {key: [older,
/// newer]}}}. Empty parts are left out; elements are
/// matched by their names. A difference of more than \p maximumBytes becomes
/// {"services": {"added": n, "removed": n, "changed": n}, ...}.
boost::json::value difference(const boost::json::value &older,
                              const boost::json::value &newer,
                              size_t maximumBytes);

} // namespace radishcross::config
