#include <LibBase/Hash.h>
#include <LibBase/Logger.h>
#include <LibHttp/CallLog.h>

#include <chrono>
#include <functional>
#include <string>

namespace radishcross::http {

namespace {

/// More of a client's id says nothing.
constexpr size_t LongestId = 64;
/// From this status on a target says that it failed.
constexpr unsigned FirstFailure = 500;

/// Versions that a line names, and the bytes that it names them in.
constexpr size_t MostVersionsBytes = 128;

bool mustLog(const EndedCall &call) {
  return call.Outcome != calls::CallOutcome::Answered ||
         isFailure(call.Status) || isSampled(call.RequestId);
}

/// Returns the version held that \p route is of.
const config::ConfigurationVersion *versionOf(const config::Snapshot &held,
                                              const config::Route *route) {
  std::less<const config::Route *> isBefore;
  for (const auto &it : held.versions()) {
    const auto &routes = it.Content->Routes;
    const auto *first = routes.data();
    if (!isBefore(route, first) && isBefore(route, first + routes.size()))
      return &it;
  }
  return nullptr;
}

struct RouteName {
  std::string Route; ///< "configuration/name".
  std::string Version;
};

RouteName routeOf(const EndedCall &call) {
  const auto *version =
      call.Held && call.Matched ? versionOf(*call.Held, call.Matched) : nullptr;
  if (!version)
    return {};
  return {version->Configuration + "/" + call.Matched->Name,
          std::to_string(version->Version)};
}

/// Returns "configuration:version" of what is in force, as far as it fits.
std::string versionsIn(const config::Snapshot *held) {
  std::string out;
  if (!held)
    return out;
  for (const auto &it : held->versions()) {
    auto next = it.Configuration + ":" + std::to_string(it.Version);
    if (out.size() + next.size() + 1 > MostVersionsBytes)
      return out + ",...";
    out += (out.empty() ? "" : ",") + next;
  }
  return out;
}

std::string codeText(base::ResultCode code) {
  return std::to_string(static_cast<unsigned>(code));
}

/// Returns who told what the client was told.
Teller lastTeller(const EndedCall &call) {
  if (call.Code == base::ResultCode::CallerGone)
    return Teller::Client;
  if (!call.Tried || call.Tried->empty())
    return Teller::OwnNode;
  return tellerOf(call.Tried->back().Result, true);
}

void logAttempt(const EndedCall &call, const EndedAttempt &it) {
  const auto &basis = it.Basis;
  base::log(base::LogLevel::Info, "call attempt ended",
            {{"request", plainId(call.RequestId)},
             {"attempt", std::to_string(it.Number)},
             {"to", it.Node},
             {"target", it.TargetId},
             {"as", it.IsForward ? "owner" : "target"},
             {"candidates", std::to_string(basis.Candidates)},
             {"left_out", std::to_string(basis.LeftOut)},
             {"own_calls", std::to_string(basis.InFlight)},
             {"load_permille", std::to_string(basis.LoadPermille)},
             {"known_ms", millisecondsText(basis.KnownAge)},
             {"suspect", basis.Suspect ? "yes" : "no"},
             {"left_ms", millisecondsText(it.Remaining)},
             {"timeout_ms", millisecondsText(it.Timeout)},
             {"end",
              std::string(base::nameOf(calls::AttemptEndNames, it.Result.End))},
             {"code", codeText(it.Result.Code)},
             {"status", std::to_string(it.Status)},
             {"told_by", std::string(base::nameOf(TellerNames,
                                                  tellerOf(it.Result, true)))},
             {"took_ms", millisecondsText(it.Took)}});
}

} // namespace

Teller tellerOf(const calls::AttemptResult &result, bool isTold) {
  using calls::AttemptEnd;
  bool hasCode = result.Code != base::ResultCode::Ok;
  switch (result.End) {
  case AttemptEnd::Answered:
    return Teller::Target;
  case AttemptEnd::RefusedNotRun:
    if (result.Code == base::ResultCode::TargetRefused)
      return Teller::Target;
    return isTold ? Teller::TargetNode : Teller::OwnNode;
  case AttemptEnd::NotSent:
  case AttemptEnd::Broken:
    return isTold && hasCode ? Teller::TargetNode : Teller::Connection;
  case AttemptEnd::TimedOut:
    return isTold && hasCode ? Teller::TargetNode : Teller::Clock;
  case AttemptEnd::Superseded:
    return Teller::OwnNode;
  case AttemptEnd::CallerGone:
    break;
  }
  return Teller::Client;
}

std::string_view requestIdOf(const Request &request,
                             const calls::CallHeaders &names,
                             std::string_view callId) {
  std::string_view out = fieldOf(request, names.RequestId);
  return out.empty() ? callId : out;
}

std::string plainId(std::string_view id) {
  std::string out(id.substr(0, LongestId));
  for (char &c : out)
    if (c < ' ' || c > '~')
      c = '?';
  return out;
}

bool isSampled(std::string_view requestId) {
  return base::hash64(requestId) % AnsweredCallsForOneLine == 0;
}

bool isFailure(unsigned status) { return status >= FirstFailure; }

std::string millisecondsText(base::Duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void logEndedCall(const EndedCall &call) {
  if (!base::isLogged(base::LogLevel::Info) || !mustLog(call))
    return;
  auto route = routeOf(call);
  if (call.Tried)
    for (const auto &it : *call.Tried)
      logAttempt(call, it);
  bool isForwarded = call.Request && call.Request->FromMesh;
  auto allowed = call.Request ? call.Request->Remaining : base::Duration{};
  base::log(
      base::LogLevel::Info, "call ended",
      {{"request", plainId(call.RequestId)},
       {"from", isForwarded ? "node" : "client"},
       {"route", std::move(route.Route)},
       {"version", std::move(route.Version)},
       {"held", versionsIn(call.Held)},
       {"service", std::string(call.ServiceName)},
       {"rank", std::string(base::nameOf(config::RankNames, call.CallRank))},
       {"deadline_ms", millisecondsText(allowed)},
       {"target", std::string(call.TargetId)},
       {"attempts", std::to_string(call.Attempts)},
       {"outcome",
        std::string(base::nameOf(calls::CallOutcomeNames, call.Outcome))},
       {"code", codeText(call.Code)},
       {"status", std::to_string(call.Status)},
       {"stop", std::string(base::nameOf(calls::StopReasonNames, call.Stop))},
       {"retries_left", std::to_string(call.RetriesLeft)},
       {"retry_after_ms", millisecondsText(call.RetryAfter)},
       {"told_by", std::string(base::nameOf(TellerNames, lastTeller(call)))},
       {"took_ms", millisecondsText(call.Took)}});
}

} // namespace radishcross::http
