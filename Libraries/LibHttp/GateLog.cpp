#include <LibBase/Logger.h>
#include <LibHttp/CallLog.h>
#include <LibHttp/GateLog.h>
#include <LibHttp/GateRunner.h>

#include <string>

namespace radishcross::http {

namespace {

bool shouldLog(std::string_view requestId, const GateOutcome &outcome) {
  return outcome.Result.End != calls::AttemptEnd::Answered ||
         isServerError(outcome.HttpResponse.result_int()) ||
         isSampled(requestId);
}

} // namespace

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
       {"decided", std::move(decided)},
       {"waited_ms", formatMilliseconds(outcome.Waited)},
       {"ran_ms", formatMilliseconds(outcome.Ran)},
       {"end", std::string(base::nameOf(calls::AttemptEndNames, result.End))},
       {"code", std::to_string(static_cast<unsigned>(result.Code))},
       {"status", std::to_string(status)},
       {"told_by", std::string(base::nameOf(OutcomeSourceNames,
                                            outcomeSourceOf(result, false)))}});
}

} // namespace radishcross::http
