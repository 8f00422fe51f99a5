#include <LibHttp/ResponseFields.h>

#include <LibCalls/CallTypes.h>
#include <LibHttp/Framing.h>
#include <LibHttp/MeshCall.h>
#include <LibHttp/Responses.h>

#include <charconv>
#include <string_view>

namespace radishcross::http {

namespace {

namespace bh = boost::beast::http;
using calls::AttemptEnd;
using calls::CallOutcome;

uint32_t numberOf(const bh::fields &fields, std::string_view name) {
  std::string_view text = fieldOf(fields, name);
  uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

void prepareForNextHop(Response &answer, bh::verb method) {
  removeHopByHopFields(answer);
  stripMeshFields(answer);
  answer.version(11);
  answer.keep_alive(true);
  if (answer.result() == bh::status::no_content)
    answer.content_length(boost::none);
  else if (method != bh::verb::head &&
           answer.result() != bh::status::not_modified)
    answer.content_length(answer.body().size());
}

void readAttemptResult(const Response &answer, calls::AttemptResult &result) {
  result.PressurePermille = numberOf(answer, calls::PressureHeader);
  result.FailedBelow = fieldOf(answer, calls::AttemptHeader) == FailedBelowMark;
  std::string_view outcome = fieldOf(answer, calls::OutcomeHeader);
  if (outcome.empty())
    return; // The target's answer.
  result.Code =
      static_cast<base::ResultCode>(numberOf(answer, calls::CodeHeader));
  result.RetryAfter = parseRetryAfter(fieldOf(answer, "Retry-After"));
  bool notRun =
      outcome == base::nameOf(calls::CallOutcomeNames, CallOutcome::NotRun);
  bool timedOut = result.Code == base::ResultCode::DeadlineExceeded;
  result.End = notRun     ? AttemptEnd::RefusedNotRun
               : timedOut ? AttemptEnd::TimedOut
                          : AttemptEnd::Broken;
}

Response makeRefusalResponse(const calls::AttemptResult &result) {
  bool notRun = result.End == AttemptEnd::NotSent ||
                result.End == AttemptEnd::RefusedNotRun;
  auto code = result.Code;
  if (result.End == AttemptEnd::TimedOut)
    code = base::ResultCode::DeadlineExceeded;
  else if (code == base::ResultCode::Ok)
    code = notRun ? base::ResultCode::NoTarget
                  : base::ResultCode::CallOutcomeUnknown;
  Response answer = makeErrorResponse(
      code, notRun ? CallOutcome::NotRun : CallOutcome::Unknown, {},
      result.RetryAfter);
  // The caller's node makes the body that its caller gets.
  answer.erase(bh::field::content_type);
  answer.body().clear();
  answer.content_length(0);
  return answer;
}

} // namespace radishcross::http
