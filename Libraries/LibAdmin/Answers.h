#pragma once

#include <LibAdmin/NodeControl.h>
#include <LibBase/LastReason.h>
#include <LibHttp/Message.h>

#include <boost/json/value.hpp>
#include <string>

namespace radishcross::admin {

/// Returns an answer with status 200 and a JSON body.
http::Response jsonResponse(const boost::json::value &value);

/// Type of the Prometheus text form.
constexpr std::string_view PrometheusType = "text/plain; version=0.0.4";

/// Returns an answer with status 200 and a text body.
http::Response textResponse(std::string text, std::string_view contentType);

/// Returns {"code", "name", "reason"} with the code's HTTP status. An answer
/// that may differ after a while carries Retry-After.
http::Response errorResponse(const base::LastReason &reason);

/// Returns the answer to a change: {"outcome": "accepted", "record", "offset",
/// "configuration", "version"}; "rejected" with "code", "name", "reason" and,
/// for a stale base, "winner"; or "unknown" with "record" to ask for later.
http::Response changeResponse(const ChangeOutcome &outcome,
                              const log::Fold &fold);

/// Returns the refusal of a change whose impact nobody accepted: "rejected"
/// with "code", "name", "reason" and "impact".
http::Response impactRejection(boost::json::object impact);

/// Returns the document of a record's outcome, as changeResponse() does.
boost::json::object outcomeDocument(const log::RecordOutcome &outcome,
                                    const log::Fold &fold);

/// Returns one line of the audit trail as a document.
boost::json::object auditDocument(const log::AuditEntry &entry);

} // namespace radishcross::admin
