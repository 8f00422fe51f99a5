#pragma once

#include <LibBase/Clock.h>
#include <LibBase/ResultCode.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/Message.h>

#include <optional>
#include <string>
#include <string_view>

namespace radishcross::http {

/// Returns an error response of this program, as opposed to one of a target:
/// the status of \p code (but 503 instead of another 5xx if the call was not
/// run, and 502 instead of a status that promises so if it may have run), the
/// body {"code", "name", "outcome", "reason"}, CodeHeader, OutcomeHeader and,
/// unless \p retryAfter is 0, Retry-After in seconds.
Response makeErrorResponse(base::ResultCode code, calls::CallOutcome outcome,
                           std::string_view reason,
                           base::Duration retryAfter = {});

/// Returns whether \p status promises that the request was not and will not be
/// run.
bool promisesNotRun(unsigned status);

/// Formats \p time as seconds, with up to three decimal places if it is not
/// whole.
std::string formatRetryAfter(base::Duration time);

/// Parses seconds with an optional fraction. Returns 0 if \p text is not a
/// number, is negative, or is an hour or more.
base::Duration parseRetryAfter(std::string_view text);

/// Returns a response with \p body, a JSON text, as its body.
Response makeJsonResponse(unsigned status, std::string body);

/// Serialises a complete message and appends it to \p out. The header fields
/// must already frame the body. \p lines are additional header fields, each
/// ending with CRLF. Without \p withBody the body is left out.
void appendMessage(const Request &message, std::string_view lines,
                   std::string &out, bool withBody = true);
void appendMessage(const Response &message, std::string &out,
                   bool withBody = true);

/// Parses a complete response as serialised by appendMessage(). Returns nothing
/// if it is incomplete or malformed.
std::optional<Response> parseResponse(std::string_view bytes);

} // namespace radishcross::http
