#include <LibHttp/ResponseFields.h>

#include <LibCalls/CallTypes.h>
#include <LibHttp/AnswerRest.h>
#include <LibHttp/Framing.h>
#include <LibHttp/MeshCall.h>
#include <LibHttp/Responses.h>

#include <algorithm>
#include <boost/container/static_vector.hpp>
#include <charconv>
#include <string>
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

constexpr uint32_t FullPermille = 1000;
/// Higher limits count as this one, which is beyond any target.
constexpr double MaximumRateLimit = 1e6;
constexpr double MilliPerUnit = 1000;
constexpr std::string_view LeavingValue = "1";
/// Follows the pressure in PressureHeader on the answer to a nested call. Older
/// nodes read only the number.
constexpr std::string_view NestedMark = " nested";
/// Follows the pressure on a target's refusal that its node judges as spurious.
constexpr std::string_view SpuriousMark = " spurious";

/// Followed by the mean time, in microseconds, of such calls at the target.
constexpr std::string_view TimeMark = " time=";
constexpr base::Duration MaximumExpectedTime = std::chrono::minutes(10);

/// Higher figures of a load count as malformed; they are beyond any target.
constexpr uint32_t MaximumLoadFigure = 1'000'000;
constexpr size_t LoadFigures = 3;

/// The inverse of parseTargetLoad().
std::string loadText(const balance::TargetLoad &load) {
  auto out = std::to_string(load.Running) + ',' + std::to_string(load.Waiting) +
             ',' + std::to_string(load.Slots);
  if (load.PacePercent)
    out += ',' + std::to_string(*load.PacePercent);
  return out;
}

void readTargetLoad(const Response &response, const calls::CallHeaders &names,
                    balance::TargetSignals &out) {
  const auto count = response.count(names.Load);
  if (count == 0)
    return;
  base::LastReason reason;
  if (count == 1)
    out.Load = parseTargetLoad(fieldOf(response, names.Load), reason);
  out.IsLoadMalformed = !out.Load;
}

base::Duration expectedTimeOf(std::string_view pressure) {
  const auto at = pressure.find(TimeMark);
  if (at == std::string_view::npos)
    return {};
  pressure.remove_prefix(at + TimeMark.size());
  int64_t time = 0;
  std::from_chars(pressure.data(), pressure.data() + pressure.size(), time);
  return std::clamp(base::Duration(time), {}, MaximumExpectedTime);
}

/// Frames the body by its length; one whose end is not known yet by chunks.
void frameBody(Response &response) {
  const auto whole = response.Rest ? response.Rest->wholeBytes()
                                   : std::optional(response.body().size());
  if (whole)
    response.content_length(*whole);
  else
    response.chunked(true);
}

bool isDigit(char c) { return c >= '0' && c <= '9'; }

} // namespace

std::optional<balance::MilliRate> parseRateLimit(std::string_view text,
                                                 base::LastReason &reason) {
  double rate = 0;
  const auto *end = text.data() + text.size();
  auto [at, ec] =
      std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  const bool isNumber = !text.empty() && isDigit(text.front()) && at == end;
  if (!isNumber || ec != std::errc())
    return reason.fail(base::ResultCode::BadValue,
                       "the rate limit is not a decimal number");
  return static_cast<balance::MilliRate>(std::min(rate, MaximumRateLimit) *
                                         MilliPerUnit);
}

std::optional<balance::TargetLoad> parseTargetLoad(std::string_view text,
                                                   base::LastReason &reason) {
  boost::container::static_vector<uint32_t, LoadFigures + 1> figures;
  const auto *end = text.data() + text.size();
  bool isList = true;
  for (const auto *it = text.data(); isList && it <= end;) {
    uint32_t figure = 0;
    const auto [at, ec] = std::from_chars(it, end, figure);
    isList = ec == std::errc() && figure <= MaximumLoadFigure &&
             (at == end || *at == ',') && figures.size() < figures.capacity();
    if (isList)
      figures.push_back(figure);
    it = at + 1;
  }
  const bool isWhole = isList && figures.size() >= LoadFigures;
  const bool hasPace = figures.size() > LoadFigures;
  if (!isWhole || figures[2] == 0 || (hasPace && figures.back() == 0))
    return reason.fail(base::ResultCode::BadValue,
                       "the load is not running,waiting,slots[,pace]");
  balance::TargetLoad out{figures[0], figures[1], figures[2], std::nullopt};
  if (hasPace)
    out.PacePercent = figures.back();
  return out;
}

std::optional<balance::TargetSignals>
readTargetSignals(const Response &response, const calls::CallHeaders &names) {
  if (response.result() == bh::status::misdirected_request)
    return std::nullopt;
  balance::TargetSignals out;
  out.IsLeaving = fieldOf(response, names.Leaving) == LeavingValue;
  auto [it, end] = response.equal_range(names.RateLimit);
  for (; it != end; ++it) {
    base::LastReason reason;
    const auto text = it->value();
    const auto rate = parseRateLimit({text.data(), text.size()}, reason);
    if (!rate)
      out.IsLimitMalformed = true;
    else
      out.RateLimit = std::min(*rate, out.RateLimit.value_or(*rate));
  }
  if (out.RateLimit)
    out.IsLimitMalformed = false;
  readTargetLoad(response, names, out);
  return out;
}

void prepareForNextHop(Response &response, bh::verb method) {
  removeHopByHopFields(response);
  stripMeshFields(response);
  response.version(11);
  response.keep_alive(true);
  if (response.result() == bh::status::no_content)
    response.content_length(boost::none);
  else if (method != bh::verb::head &&
           response.result() != bh::status::not_modified)
    frameBody(response);
}

std::string pressureText(const calls::AttemptResult &result) {
  auto out = std::to_string(result.PressurePermille);
  if (result.Refusal == balance::RefusalKind::Spurious)
    out += SpuriousMark;
  if (result.ExpectedTime > base::Duration::zero())
    out.append(TimeMark).append(std::to_string(result.ExpectedTime.count()));
  if (result.IsNested)
    out += NestedMark;
  return out;
}

void readAttemptResult(const Response &response, calls::AttemptResult &result) {
  result.PressurePermille =
      std::min(numberOf(response, calls::PressureHeader), FullPermille);
  const std::string_view pressure = fieldOf(response, calls::PressureHeader);
  result.IsNested = pressure.ends_with(NestedMark);
  if (pressure.find(SpuriousMark) != std::string_view::npos)
    result.Refusal = balance::RefusalKind::Spurious;
  result.ExpectedTime = expectedTimeOf(pressure);
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

Response makeRefusalResponse(const calls::AttemptResult &result,
                             const calls::CallHeaders &names) {
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
  if (result.Signals && result.Signals->Load)
    response.set(names.Load, loadText(*result.Signals->Load));
  return response;
}

} // namespace radishcross::http
