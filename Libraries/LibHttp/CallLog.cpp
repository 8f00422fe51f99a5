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

/// Returns an id as printable ASCII, as a client may send any bytes.
std::string plainId(std::string_view id) {
  std::string out(id.substr(0, LongestId));
  for (char &c : out)
    if (c < ' ' || c > '~')
      c = '?';
  return out;
}

bool mustLog(const EndedCall &call) {
  if (call.Outcome != calls::CallOutcome::Answered ||
      call.Status >= FirstFailure)
    return true;
  return base::hash64(call.RequestId) % AnsweredCallsForOneLine == 0;
}

/// Returns the version held that \p route is of.
const config::HeldVersion *versionOf(const config::Snapshot &held,
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
  if (!call.Held)
    return {};
  const auto &request = *call.Request;
  auto hit = call.Held->findRoute(request.Method, request.Host, request.Path);
  const auto *version =
      hit.Matched ? versionOf(*call.Held, hit.Matched) : nullptr;
  if (!version)
    return {};
  return {version->Configuration + "/" + hit.Matched->Name,
          std::to_string(version->Version)};
}

} // namespace

void logEndedCall(const EndedCall &call) {
  if (!base::isLogged(base::LogLevel::Info) || !mustLog(call))
    return;
  auto route = routeOf(call);
  auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.Took).count();
  base::log(base::LogLevel::Info, "call ended",
            {{"request", plainId(call.RequestId)},
             {"route", std::move(route.Route)},
             {"version", std::move(route.Version)},
             {"target", std::string(call.TargetId)},
             {"attempts", std::to_string(call.Attempts)},
             {"outcome",
              std::string(base::nameOf(calls::CallOutcomeNames, call.Outcome))},
             {"code", std::to_string(static_cast<unsigned>(call.Code))},
             {"status", std::to_string(call.Status)},
             {"took_ms", std::to_string(took)}});
}

} // namespace radishcross::http
