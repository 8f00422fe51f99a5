#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibLog/Fold.h>

#include <boost/json/object.hpp>
#include <optional>

namespace radishcross::admin {

/// Returns the newest audit trail entries that match the query's filters, in
/// log order: {"entries": [...], "left_out": N}. Filters: configuration, actor,
/// team, kind, outcome ("accepted" or "rejected"), since (an offset), limit.
/// Fails with UsageError.
std::optional<boost::json::object> auditReport(const ApiRequest &request,
                                               const log::Fold &fold,
                                               base::LastReason &reason);

} // namespace radishcross::admin
