#include <LibBase/Hash.h>
#include <LibBase/Logger.h>
#include <LibHttp/CallLog.h>

#include <chrono>
#include <string>

namespace radishcross::http {

namespace {

/// Maximum length of a client's request id in the log.
constexpr size_t MaxIdLength = 64;
/// Statuses from here on are server errors.
constexpr unsigned FirstServerErrorStatus = 500;

/// Maximum length of the list of versions in one line, in bytes.
constexpr size_t MaxVersionsBytes = 128;

bool shouldLog(const EndedCall &call) {
  return call.Outcome != calls::CallOutcome::Answered ||
         isServerError(call.Status) || isSampled(call.RequestId);
}

struct RouteName {
  std::string Route; ///< "configuration/name".
  std::string Version;
};

RouteName routeOf(const EndedCall &call) {
  const auto *version = call.Held && call.Matched
                            ? call.Held->versionWith(call.Matched)
                            : nullptr;
  if (!version)
    return {};
  return {version->Configuration + "/" + call.Matched->Name,
          std::to_string(version->Version)};
}

/// Returns "configuration:version" for all versions in force, truncated to
/// MaxVersionsBytes.
std::string versionsIn(const config::Snapshot *held) {
  std::string out;
  if (!held)
    return out;
  for (const auto &it : held->versions()) {
    auto next = it.Configuration + ":" + std::to_string(it.Version);
    if (out.size() + next.size() + 1 > MaxVersionsBytes)
      return out + ",...";
    out += (out.empty() ? "" : ",") + next;
  }
  return out;
}

std::string formatCode(base::ResultCode code) {
  return std::to_string(static_cast<unsigned>(code));
}

/// Returns who determined the outcome that the client was told.
OutcomeSource finalOutcomeSource(const EndedCall &call) {
  if (call.Code == base::ResultCode::CallerGone)
    return OutcomeSource::Client;
  if (!call.EndedAttempts || call.EndedAttempts->empty())
    return OutcomeSource::OwnNode;
  return outcomeSourceOf(call.EndedAttempts->back().Result, true);
}

void logAttempt(const EndedCall &call, const EndedAttempt &it) {
  const auto &basis = it.Basis;
  base::log(
      base::LogLevel::Info, "call attempt ended",
      {{"request", printableId(call.RequestId)},
       {"attempt", std::to_string(it.Number)},
       {"to", it.Node},
       {"target", it.TargetId},
       {"as", it.IsForward ? "owner" : "target"},
       {"hedge", std::string(base::nameOf(calls::HedgeCauseNames, it.Hedge))},
       {"candidates", std::to_string(basis.Candidates)},
       {"left_out", std::to_string(basis.LeftOut)},
       {"own_calls", std::to_string(basis.InFlight)},
       {"load_permille", std::to_string(basis.LoadPermille)},
       {"time_permille", std::to_string(basis.TimePermille)},
       {"known_ms", formatMilliseconds(basis.KnownAge)},
       {"suspect", basis.Suspect ? "yes" : "no"},
       {"left_ms", formatMilliseconds(it.Remaining)},
       {"timeout_ms", formatMilliseconds(it.Timeout)},
       {"end",
        std::string(base::nameOf(calls::AttemptEndNames, it.Result.End))},
       {"code", formatCode(it.Result.Code)},
       {"status", std::to_string(it.Status)},
       {"told_by", std::string(base::nameOf(OutcomeSourceNames,
                                            outcomeSourceOf(it.Result, true)))},
       {"took_ms", formatMilliseconds(it.Took)}});
}

} // namespace

OutcomeSource outcomeSourceOf(const calls::AttemptResult &result,
                              bool isReportedByNode) {
  using calls::AttemptEnd;
  bool hasCode = result.Code != base::ResultCode::Ok;
  switch (result.End) {
  case AttemptEnd::Answered:
    return OutcomeSource::Target;
  case AttemptEnd::RefusedNotRun:
    if (result.Code == base::ResultCode::TargetRefused)
      return OutcomeSource::Target;
    return isReportedByNode ? OutcomeSource::TargetNode
                            : OutcomeSource::OwnNode;
  case AttemptEnd::NotSent:
  case AttemptEnd::Broken:
    return isReportedByNode && hasCode ? OutcomeSource::TargetNode
                                       : OutcomeSource::Connection;
  case AttemptEnd::TimedOut:
    return isReportedByNode && hasCode ? OutcomeSource::TargetNode
                                       : OutcomeSource::Clock;
  case AttemptEnd::Superseded:
    return OutcomeSource::OwnNode;
  case AttemptEnd::CallerGone:
    break;
  }
  return OutcomeSource::Client;
}

std::string_view requestIdOf(const Request &request,
                             const calls::CallHeaders &names,
                             std::string_view callId) {
  std::string_view out = fieldOf(request, names.RequestId);
  return out.empty() ? callId : out;
}

std::string printableId(std::string_view id) {
  std::string out(id.substr(0, MaxIdLength));
  for (char &c : out)
    if (c < ' ' || c > '~')
      c = '?';
  return out;
}

bool isSampled(std::string_view requestId) {
  return base::hash64(requestId) % AnsweredCallsPerSample == 0;
}

bool isServerError(unsigned status) { return status >= FirstServerErrorStatus; }

std::string formatMilliseconds(base::Duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void logEndedCall(const EndedCall &call) {
  if (!base::isLogged(base::LogLevel::Info) || !shouldLog(call))
    return;
  auto route = routeOf(call);
  if (call.EndedAttempts)
    for (const auto &it : *call.EndedAttempts)
      logAttempt(call, it);
  bool isForwarded = call.Request && call.Request->FromMesh;
  auto allowed = call.Request ? call.Request->Remaining : base::Duration{};
  base::log(
      base::LogLevel::Info, "call ended",
      {{"request", printableId(call.RequestId)},
       {"from", isForwarded ? "node" : "client"},
       {"route", std::move(route.Route)},
       {"version", std::move(route.Version)},
       {"held", versionsIn(call.Held)},
       {"service", std::string(call.ServiceName)},
       {"tenant", call.Request ? call.Request->Tenant : std::string()},
       {"rank", std::string(base::nameOf(config::RankNames, call.CallRank))},
       {"deadline_ms", formatMilliseconds(allowed)},
       {"target", std::string(call.TargetId)},
       {"attempts", std::to_string(call.Attempts)},
       {"outcome",
        std::string(base::nameOf(calls::CallOutcomeNames, call.Outcome))},
       {"code", formatCode(call.Code)},
       {"status", std::to_string(call.Status)},
       {"stop", std::string(base::nameOf(calls::StopReasonNames, call.Stop))},
       {"retries_left", std::to_string(call.RetriesLeft)},
       {"retry_after_ms", formatMilliseconds(call.RetryAfter)},
       {"told_by", std::string(base::nameOf(OutcomeSourceNames,
                                            finalOutcomeSource(call)))},
       {"took_ms", formatMilliseconds(call.Took)}});
}

} // namespace radishcross::http
