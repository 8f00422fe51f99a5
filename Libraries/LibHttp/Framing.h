#pragma once

#include <LibBase/LastReason.h>
#include <LibHttp/Message.h>

#include <string_view>

namespace radishcross::http {

/// Checks the raw bytes of a message's head, from the start line to the empty
/// line: no line folding, no bare CR or LF, no NUL. Fails with BadRequest.
bool checkRawHead(std::string_view head, base::LastReason &reason);

/// Checks a parsed request's head for anything that two readers could read
/// differently: body length, host, path, upgrades. Fails with BadRequest.
bool checkRequestHead(const Request &request, base::LastReason &reason);

/// Checks the status and the body length fields of an answer. Fails with
/// CallOutcomeUnknown.
bool checkResponseHead(const Response &response, base::LastReason &reason);

/// Tells whether \p path has a "." or ".." segment, plain or percent-encoded,
/// a backslash or a fragment.
bool isAmbiguousPath(std::string_view path);

/// Gives a request without fields of one connection its framing for the next
/// one: HTTP/1.1, kept alive, a Host, the body's length.
void frameForNextHop(Request &request);

/// Removes the fields that concern one connection alone (RFC 9110, 7.6.1), and
/// those that the Connection field names.
void removeHopByHopFields(boost::beast::http::fields &fields);

} // namespace radishcross::http
