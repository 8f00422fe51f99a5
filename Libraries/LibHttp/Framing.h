#pragma once

#include <LibBase/LastReason.h>
#include <LibHttp/Message.h>

#include <string_view>

namespace radishcross::http {

/// Checks the raw bytes of a message head, from the start line to the empty
/// line: no line folding, bare CR, bare LF or NUL. Fails with BadRequest.
bool checkRawHead(std::string_view head, base::LastReason &reason);

/// Checks a parsed request head for anything that two HTTP parsers could
/// interpret differently (request smuggling): body length, host, path,
/// upgrades. Fails with BadRequest.
bool checkRequestHead(const Request &request, base::LastReason &reason);

/// Checks the status and the body length fields of a response. Fails with
/// CallOutcomeUnknown.
bool checkResponseHead(const Response::Whole &response,
                       base::LastReason &reason);

/// Returns whether \p path has a "." or ".." segment, plain or percent-encoded,
/// a backslash or a fragment.
bool isAmbiguousPath(std::string_view path);

/// Frames a request for the next connection after its hop-by-hop fields were
/// removed: HTTP/1.1, keep-alive, a Host field and the body's length.
void frameForNextHop(Request &request);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1) and those that the
/// Connection field names.
void removeHopByHopFields(boost::beast::http::fields &fields);

} // namespace radishcross::http
