#include <LibBase/Logger.h>
#include <LibHttp/CallLog.h>
#include <LibHttp/GateLog.h>
#include <LibHttp/GateRunner.h>

#include <array>
#include <cstdio>
#include <optional>
#include <string>

namespace radishcross::http {

namespace {

bool shouldLog(std::string_view requestId, const GateOutcome &outcome) {
  return outcome.Result.End != calls::AttemptEnd::Answered ||
         isServerError(outcome.HttpResponse.result_int()) ||
         isSampled(requestId);
}

/// Formats a rate as requests per second; "none" without one.
std::string formatRate(std::optional<balance::MilliRate> rate) {
  constexpr double MilliPerUnit = 1000;
  if (!rate)
    return "none";
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f",
                static_cast<double>(*rate) / MilliPerUnit);
  return buf.data();
}

/// Returns why the target refused the call, or "none" if it did not.
std::string refusalText(const calls::AttemptResult &result) {
  return result.Code == base::ResultCode::TargetRefused
             ? std::string(
                   base::nameOf(balance::RefusalKindNames, result.Refusal))
             : "none";
}

} // namespace

void logSignals(const MeshCall &call, std::string_view requestId,
                const balance::TargetSignals &signals, const SignalNews &news) {
  const std::initializer_list<base::LogField> fields = {
      {"target", call.TargetId},
      {"service", call.ServiceName},
      {"request", printableId(requestId)},
      {"rate_limit", formatRate(signals.RateLimit)}};
  if (news.RateLimit)
    base::log(base::LogLevel::Info, "target rate limit changed", fields);
  if (news.Leaving)
    base::log(base::LogLevel::Info, "target is leaving", fields);
  if (signals.IsLimitMalformed)
    base::log(base::LogLevel::Warning, "target rate limit malformed", fields);
  if (signals.IsLoadMalformed)
    base::log(base::LogLevel::Warning, "target load malformed", fields);
}

void logGateCall(const MeshCall &call, std::string_view requestId,
                 const GateOutcome &outcome) {
  if (!base::isLogged(base::LogLevel::Info) || !shouldLog(requestId, outcome))
    return;
  const auto &result = outcome.Result;
  const auto &loadOnArrival = outcome.LoadOnArrival;
  bool isAnswered = result.End == calls::AttemptEnd::Answered;
  unsigned status = isAnswered ? outcome.HttpResponse.result_int() : 0;
  std::string decided = outcome.HasWaited ? "queued" : "";
  if (outcome.HasRun)
    decided += outcome.HasWaited ? ", run" : "run";
  else
    decided += outcome.HasWaited ? ", refused" : "refused";
  base::log(
      base::LogLevel::Info, "call at gate",
      {{"request", printableId(requestId)},
       {"target", call.TargetId},
       {"service", call.ServiceName},
       {"rank", std::string(base::nameOf(config::RankNames, call.CallRank))},
       {"retry", call.Attempt >= RetryAttempt ? "yes" : "no"},
       {"left_ms", formatMilliseconds(call.Remaining)},
       {"running", std::to_string(loadOnArrival.Running)},
       {"limit", std::to_string(loadOnArrival.Limit)},
       {"waiting", std::to_string(loadOnArrival.Waiting)},
       {"queue_length", std::to_string(loadOnArrival.QueueLength)},
       {"recent_starts", std::to_string(loadOnArrival.RecentStarts)},
       {"rate_limit", formatRate(loadOnArrival.RateLimit)},
       {"decided", std::move(decided)},
       {"refused_for",
        std::string(base::nameOf(admission::RefusalCauseNames, outcome.Why))},
       {"can_go_elsewhere", call.CanGoElsewhere ? "yes" : "no"},
       {"wait_expected_ms", formatMilliseconds(loadOnArrival.ExpectedWait)},
       {"waited_ms", formatMilliseconds(outcome.Waited)},
       {"ran_ms", formatMilliseconds(outcome.Ran)},
       {"end", std::string(base::nameOf(calls::AttemptEndNames, result.End))},
       {"refusal", refusalText(result)},
       {"code", std::to_string(static_cast<unsigned>(result.Code))},
       {"status", std::to_string(status)},
       {"told_by", std::string(base::nameOf(OutcomeSourceNames,
                                            outcomeSourceOf(result, false)))}});
}

} // namespace radishcross::http
