#pragma once

#include <LibAdmin/NodeControl.h>
#include <LibBase/LastReason.h>
#include <LibHttp/Message.h>

#include <boost/json/value.hpp>
#include <string>

namespace radishcross::admin {

/// Returns a response with status 200 and a JSON body.
http::Response jsonResponse(const boost::json::value &value);

/// Content type of the Prometheus text format.
constexpr std::string_view PrometheusType = "text/plain; version=0.0.4";

/// Returns a response with status 200 and a text body.
http::Response textResponse(std::string text, std::string_view contentType);

/// Returns {"code", "name", "reason"} with the code's HTTP status. Responses
/// with status 503 or 504 carry Retry-After.
http::Response errorResponse(const base::LastReason &reason);

/// Returns the response to a change: {"outcome": "accepted", "record",
/// "offset", "configuration", "version"}; "rejected" with "code", "name",
/// "reason" and, for a stale base, "winner"; or "unknown" with "record", by
/// which the outcome can be queried later.
http::Response changeResponse(const ChangeOutcome &outcome,
                              const log::Fold &fold);

/// Returns the rejection of a change whose harmful impact was not accepted:
/// "rejected" with "code", "name", "reason" and "impact".
http::Response impactRejection(boost::json::object impact);

/// Returns the JSON form of a record's outcome that changeResponse() uses.
boost::json::object outcomeDocument(const log::RecordOutcome &outcome,
                                    const log::Fold &fold);

/// Returns the JSON form of one audit trail entry.
boost::json::object auditDocument(const log::AuditEntry &entry);

} // namespace radishcross::admin
