#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/ImpactCheck.h>
#include <LibLog/Fold.h>
#include <LibLog/Record.h>

#include <optional>

namespace radishcross::admin {

// Every request may carry ?record=ID: the client's choice of the record's id,
// so that it can ask for the outcome when an answer was lost.

/// Reads the content that a publish or a question for its impact carries, and
/// the configuration's name from the path.
std::optional<PlannedContent> plannedContent(const ApiRequest &request,
                                             base::LastReason &reason);

/// Tells whether a publish has to be assessed first: its impact is not accepted
/// already, and some node is given the version.
bool requiresImpactCheck(const ApiRequest &request);

/// Builds the record of a new version from the body {"base", "content",
/// "attach", "accepted_impact"}. Without a "base" it is the newest version of
/// \p fold. "attach" is {"name", "selector"} or a list of these. Without it a
/// new configuration is attached to every node under its own name, and a later
/// version moves every attachment of the configuration; null attaches nothing.
/// Fails when the content is not valid.
std::optional<log::Record> publishRecord(const ApiRequest &request,
                                         const log::Fold &fold,
                                         base::LastReason &reason);

/// Reads the attachment that a body asks for: {"name", "configuration",
/// "version", "selector"}; the newest version when none is given.
std::optional<log::Attachment> plannedAttachment(const ApiRequest &request,
                                                 const log::Fold &fold,
                                                 base::LastReason &reason);

/// Builds the record that makes or moves such an attachment.
std::optional<log::Record> attachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason);

/// Builds the record that ends an attachment; its name is in the path.
std::optional<log::Record> detachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason);

/// Builds the record that drains a VM ("vm:ID") or a service
/// ("service:configuration/name"), or ends that: {"what", "on"}.
std::optional<log::Record> drainRecord(const ApiRequest &request,
                                       const log::Fold &fold,
                                       base::LastReason &reason);

} // namespace radishcross::admin
