#pragma once

#include <boost/json/value.hpp>
#include <cstddef>

namespace radishcross::config {

/// Returns the structural difference between two versions' documents:
/// {"services": {"added": [], "removed": [], "changed": {name: {key:
/// [older, newer]}}}, "routes": {...}, "limits": {"changed": {key: [older,
/// newer]}}}. Empty members are omitted; elements are matched by name. A
/// difference whose serialised form is longer than \p maximumBytes is reduced
/// to counts: {"services": {"added": n, "removed": n, "changed": n}, ...}.
boost::json::value difference(const boost::json::value &older,
                              const boost::json::value &newer,
                              size_t maximumBytes);

} // namespace radishcross::config
