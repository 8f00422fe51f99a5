#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibLog/Fold.h>
#include <LibLog/Record.h>

#include <optional>

namespace radishcross::admin {

/// Builds the record of a new version from the body {"record", "base",
/// "content", "attach", "accepted_impact"}. "record" is the id that the client
/// chose, so that it can ask for the outcome of a lost answer; without a "base"
/// it is the newest version of \p fold. "attach" is {"name", "selector"} or a
/// list of these. Without it a new configuration is attached to every node
/// under the name "all" and later versions move every attachment of the
/// configuration; null attaches nothing. Fails when the content is not valid.
std::optional<log::Record> publishRecord(const ApiRequest &request,
                                         const log::Fold &fold,
                                         base::LastReason &reason);

/// Builds the record that binds a version: {"record", "name", "configuration",
/// "version", "selector"}; the newest version when none is given.
std::optional<log::Record> attachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason);

/// Builds the record that ends an attachment; its name is in the path, "record"
/// in the query.
std::optional<log::Record> detachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason);

/// Builds the record that drains a VM ("vm:ID") or a service
/// ("service:configuration/name"), or ends that: {"record", "name", "drained"}.
std::optional<log::Record> drainRecord(const ApiRequest &request,
                                       const log::Fold &fold,
                                       base::LastReason &reason);

} // namespace radishcross::admin
