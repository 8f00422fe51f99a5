#include <LibFleet/Recovery.h>

#include <algorithm>
#include <utility>

namespace radishcross::embedded {
extern const std::string_view RecoveryText;
} // namespace radishcross::embedded

namespace radishcross::fleet {

namespace {

const chart::Chart *sharedChart(base::LastReason &reason) {
  static const auto shared = chart::Chart::create(
      embedded::RecoveryText, {"serve", "readLog", "leaveLog"}, reason);
  return shared ? &*shared : nullptr;
}

} // namespace

RecoveryView viewForRecovery(const MemberTable &table, const NodeId &self,
                             const std::string &dataCentre,
                             log::Offset inForce) {
  RecoveryView view;
  view.InForce = inForce;
  for (const auto &it : table.all()) {
    if (!isLive(it) || !it.IsRecovered || it.Identity.Id == self)
      continue;
    auto &anywhere = view.ServedAnywhere;
    anywhere = std::max(anywhere.value_or(0), it.ConfigOffset);
    if (it.Identity.DataCentre != dataCentre)
      continue;
    auto &locally = view.ServedLocally;
    locally = std::max(locally.value_or(0), it.ConfigOffset);
  }
  return view;
}

Recovery::Recovery(const chart::Chart &chart, RecoverySettings settings,
                   base::TimePoint now)
    : Settings(settings), Started(now),
      Chart(chart,
            {&Recovery::serve, &Recovery::readLog, &Recovery::leaveLog}) {}

std::optional<Recovery> Recovery::create(RecoverySettings settings,
                                         base::TimePoint now,
                                         base::LastReason &reason) {
  const auto *chart = sharedChart(reason);
  if (!chart)
    return std::nullopt;
  return Recovery(*chart, settings, now);
}

void Recovery::logRead(bool reached, log::Offset first, log::Offset end) {
  LogTried = true;
  LogReached = reached;
  if (!reached)
    return;
  LogFirst = first;
  LogEnd = end;
}

bool Recovery::isCaughtUp(const RecoveryView &view) const {
  if (view.ServedLocally)
    return view.InForce >= *view.ServedLocally;
  if (view.ServedAnywhere && view.InForce < *view.ServedAnywhere)
    return false;
  bool hasWholeLog = LogReached && view.InForce + 1 >= LogEnd;
  // While the platform is down, the state of another data centre suffices.
  bool hasPeersWord = view.ServedAnywhere && LogTried && !LogReached;
  return hasWholeLog || hasPeersWord;
}

std::string_view Recovery::eventFor(const RecoveryView &view,
                                    base::TimePoint now) const {
  if (Settings.HasSeeds && now < Started + Settings.JoinGrace)
    return {};
  bool hasLocalPeer = view.ServedLocally.has_value();
  const auto &state = stateName();
  if (state == "from-peers" && !hasLocalPeer)
    return "no-peer";
  if (state != "from-peers" && hasLocalPeer)
    return "peer-found";
  if (state == "joining")
    return "no-peer";
  bool isLogOfUse = LogReached && !needsState(view.InForce);
  if (state == "waiting" && isLogOfUse)
    return "log-found";
  if (isCaughtUp(view))
    return state == "waiting" ? "log-found" : "caught-up";
  bool hasNoSource = !view.ServedAnywhere && LogTried && !isLogOfUse;
  return hasNoSource ? "no-source" : "";
}

void Recovery::reevaluate(const RecoveryView &view, base::TimePoint now) {
  // Each event leads to another state, so a few steps reach the final one.
  constexpr int MaximumSteps = 4;
  for (int n = 0; n < MaximumSteps && !Serving; ++n) {
    auto event = eventFor(view, now);
    if (event.empty() || !Chart.dispatch(*this, event))
      return;
  }
}

std::string Recovery::reason() const {
  if (Serving)
    return {};
  if (stateName() == "joining")
    return "waiting for peers to answer";
  if (stateName() == "from-peers")
    return "behind the serving nodes of its data centre";
  if (stateName() == "from-log")
    return "reading the log to its end";
  return LogReached ? "the log no longer has the first records needed, and no "
                      "serving peer is reached"
                    : "neither a serving peer nor the platform is reached";
}

} // namespace radishcross::fleet
