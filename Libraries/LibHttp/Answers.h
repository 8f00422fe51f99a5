#pragma once

#include <LibBase/Clock.h>
#include <LibBase/ResultCode.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/Message.h>

#include <string_view>

namespace radishcross::http {

/// Returns an answer of this program itself, not of a target: the status of
/// \p code, the body {"code", "name", "outcome", "reason"}, CodeHeader,
/// OutcomeHeader and, where \p retryAfter is not 0, Retry-After in seconds.
Response makeAnswer(base::ResultCode code, calls::CallOutcome outcome,
                    std::string_view reason, base::Duration retryAfter = {});

/// Returns an answer with a JSON text as its body.
Response makeJson(unsigned status, std::string body);

} // namespace radishcross::http
