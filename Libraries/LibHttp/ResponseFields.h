#pragma once

#include <LibCalls/CallBroker.h>
#include <LibHttp/Message.h>

namespace radishcross::http {

/// Makes \p response fit to be sent on another connection: without the fields
/// of one connection and of the mesh, and with its body's length.
void prepareForNextHop(Response &response, boost::beast::http::verb method);

/// Reads what another node's answer says of the attempt; without OutcomeHeader
/// it is the target's answer and the attempt's end stays as it is.
void readAttemptResult(const Response &response, calls::AttemptResult &result);

/// Returns what another node is told of an attempt without a target's answer.
Response makeRefusalResponse(const calls::AttemptResult &result);

} // namespace radishcross::http
