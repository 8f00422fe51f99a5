#pragma once

#include <LibCalls/CallBroker.h>
#include <LibHttp/Message.h>

namespace radishcross::http {

/// Prepares \p response for the next connection: removes hop-by-hop and mesh
/// fields, sets HTTP/1.1 with keep-alive, and sets Content-Length from the body
/// unless the status or \p method rules out a body.
void prepareForNextHop(Response &response, boost::beast::http::verb method);

/// Reads the outcome of an attempt from another node's response. Without
/// OutcomeHeader it is the target's own response, and \p result.End is left
/// unchanged.
void readAttemptResult(const Response &response, calls::AttemptResult &result);

/// Returns the response that reports an attempt without a target response to
/// the node that sent it.
Response makeRefusalResponse(const calls::AttemptResult &result);

} // namespace radishcross::http
