#pragma once

#include <LibLog/Fold.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace radishcross::admin {

/// Returns {"configuration", "team", "newest", "changed_at", "versions":
/// [{"version", "offset"}], "attachments": [{"name", "version", "selector",
/// "offset"}]}.
boost::json::object
configurationReport(const log::Fold &fold,
                    const log::Configuration &configuration);

/// Returns the report of every configuration, by name.
boost::json::array configurationReports(const log::Fold &fold);

} // namespace radishcross::admin
