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

void prepareForNextHop(Response &response, bh::verb method) {
  removeHopByHopFields(response);
  stripMeshFields(response);
  response.version(11);
  response.keep_alive(true);
  if (response.result() == bh::status::no_content)
    response.content_length(boost::none);
  else if (method != bh::verb::head &&
           response.result() != bh::status::not_modified)
    response.content_length(response.body().size());
}

void readAttemptResult(const Response &response, calls::AttemptResult &result) {
  result.PressurePermille = numberOf(response, calls::PressureHeader);
  result.DownstreamFailed =
      fieldOf(response, calls::AttemptHeader) == FailureBelowValue;
  std::string_view outcome = fieldOf(response, calls::OutcomeHeader);
  if (outcome.empty())
    return; // The target's own response.
  result.Code =
      static_cast<base::ResultCode>(numberOf(response, calls::CodeHeader));
  result.RetryAfter = parseRetryAfter(fieldOf(response, "Retry-After"));
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
  Response response = makeErrorResponse(
      code, notRun ? CallOutcome::NotRun : CallOutcome::Unknown, {},
      result.RetryAfter);
  // The caller's node generates the body for its caller.
  response.erase(bh::field::content_type);
  response.body().clear();
  response.content_length(0);
  return response;
}

} // namespace radishcross::http
