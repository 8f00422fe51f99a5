#pragma once

#include <LibBase/Clock.h>
#include <LibBase/ResultCode.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/Message.h>

#include <optional>
#include <string>
#include <string_view>

namespace radishcross::http {

/// Returns an answer of this program itself, not of a target: the status of
/// \p code (but 503 in place of another 5xx where the call was not run, and 502
/// in place of a status that promises so where it may have), the body {"code",
/// "name", "outcome", "reason"}, CodeHeader, OutcomeHeader and, where \p
/// retryAfter is not 0, Retry-After in seconds.
Response makeErrorResponse(base::ResultCode code, calls::CallOutcome outcome,
                           std::string_view reason,
                           base::Duration retryAfter = {});

/// Returns \p time in seconds, with a fraction where it is not whole.
std::string formatRetryAfter(base::Duration time);

/// Reads seconds with or without a fraction; 0 where \p text is no number, is
/// below 0 or an hour and more.
base::Duration parseRetryAfter(std::string_view text);

/// Returns an answer with a JSON text as its body.
Response makeJsonResponse(unsigned status, std::string body);

/// Appends the bytes of a whole message to \p out; the fields must frame the
/// body already. \p lines are further fields, each line with its line break.
void appendMessage(const Request &message, std::string_view lines,
                   std::string &out);
void appendMessage(const Response &message, std::string &out);

/// Reads a whole answer back from what appendMessage() wrote.
std::optional<Response> parseResponse(std::string_view bytes);

} // namespace radishcross::http
