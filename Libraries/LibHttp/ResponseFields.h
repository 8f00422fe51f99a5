#pragma once

#include <LibCalls/CallBroker.h>
#include <LibCalls/CallHeaders.h>
#include <LibHttp/Message.h>

#include <optional>
#include <string_view>

namespace radishcross::http {

/// Prepares \p response for the next connection: removes hop-by-hop and mesh
/// fields, sets HTTP/1.1 with keep-alive, and sets Content-Length from the body
/// unless the status or \p method rules out a body.
void prepareForNextHop(Response &response, boost::beast::http::verb method);

/// Returns the value of PressureHeader: the target's pressure, whether a
/// refusal by the target was spurious, the mean time of such calls there, and
/// whether its node knows the call as nested.
std::string pressureText(const calls::AttemptResult &result);

/// Reads the outcome of an attempt from another node's response. Without
/// OutcomeHeader it is the target's own response, and \p result.End is left
/// unchanged.
void readAttemptResult(const Response &response, calls::AttemptResult &result);

/// Parses a number of requests per second: digits with an optional fraction.
/// Fails with BadValue for anything else, such as a sign, an exponent or an
/// empty text.
std::optional<balance::MilliRate> parseRateLimit(std::string_view text,
                                                 base::LastReason &reason);

/// Parses "running,waiting,slots[,pace]": numbers without a sign, at least one
/// slot, and a pace above 0, in percent. Fails with BadValue for anything else.
std::optional<balance::TargetLoad> parseTargetLoad(std::string_view text,
                                                   base::LastReason &reason);

/// Reads what a target states about itself on its own response; of several
/// limits the lowest valid one counts; of several loads none does. Returns
/// nothing for a response that another target may have written (421).
std::optional<balance::TargetSignals>
readTargetSignals(const Response &response, const calls::CallHeaders &names);

/// Returns the response that reports an attempt without a target response to
/// the node that sent it, with the load that a refusing target stated.
Response makeRefusalResponse(const calls::AttemptResult &result,
                             const calls::CallHeaders &names);

} // namespace radishcross::http
