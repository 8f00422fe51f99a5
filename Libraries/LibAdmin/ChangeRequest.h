#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/ImpactCheck.h>
#include <LibLog/Fold.h>
#include <LibLog/Record.h>

#include <optional>

namespace radishcross::admin {

// Every request may carry ?record=ID, a record id chosen by the client, so that
// the client can query the outcome when a response was lost.

/// Reads the content from the body of a publish or impact request, and the
/// configuration's name from the path.
std::optional<PlannedContent> plannedContent(const ApiRequest &request,
                                             base::LastReason &reason);

/// Returns whether a publish requires an impact assessment: its impact was not
/// accepted in the request, and the version is attached to nodes.
bool requiresImpactCheck(const ApiRequest &request);

/// Builds the record of a new version from the body {"base", "content",
/// "attach", "accepted_impact"}. "base" defaults to the newest version in
/// \p fold. "attach" is {"name", "selector"} or a list of these. Without it a
/// new configuration is attached to every node under its own name, and a later
/// version moves every attachment of the configuration; null attaches nothing.
/// Fails when the content is not valid.
std::optional<log::Record> publishRecord(const ApiRequest &request,
                                         const log::Fold &fold,
                                         base::LastReason &reason);

/// Reads an attachment from the body {"name", "configuration", "version",
/// "selector"}; "version" defaults to the newest.
std::optional<log::Attachment> plannedAttachment(const ApiRequest &request,
                                                 const log::Fold &fold,
                                                 base::LastReason &reason);

/// Builds the record that creates or moves the attachment in the body.
std::optional<log::Record> attachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason);

/// Builds the record that removes the attachment named in the path.
std::optional<log::Record> detachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason);

/// Builds the record that drains a VM ("vm:ID") or a service
/// ("service:configuration/name"), or ends the drain:
/// {"what", "on"}.
std::optional<log::Record> drainRecord(const ApiRequest &request,
                                       const log::Fold &fold,
                                       base::LastReason &reason);

} // namespace radishcross::admin
