#pragma once

#include <LibCalls/CallBroker.h>

// The steps with which a call ends.

namespace radishcross::calls {

/// Retry-after for refusals without one.
constexpr base::Duration DefaultRetryAfter = std::chrono::seconds(1);

inline CallStep finish(CallOutcome outcome, base::ResultCode code,
                       base::Duration retryAfter = {}) {
  CallStep out;
  out.Outcome = outcome;
  out.Code = code;
  out.RetryAfter = retryAfter;
  return out;
}

inline CallStep refuse(base::ResultCode code, base::Duration retryAfter = {}) {
  return finish(CallOutcome::NotRun, code, retryAfter);
}

inline CallStep replay() {
  auto out = finish(CallOutcome::Answered, base::ResultCode::Ok);
  out.What = CallStep::Kind::Replay;
  return out;
}

} // namespace radishcross::calls
