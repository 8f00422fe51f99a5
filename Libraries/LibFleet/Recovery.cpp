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

/// Returns the highest offset in force at serving members, or nothing when no
/// serving member is known.
std::optional<log::Offset> servedBy(const MemberTable &table,
                                    const NodeId &self,
                                    const std::string *dataCentre) {
  std::optional<log::Offset> highest;
  for (const auto &it : table.all()) {
    if (!isLive(it) || !it.IsRecovered || it.Identity.Id == self)
      continue;
    if (dataCentre && it.Identity.DataCentre != *dataCentre)
      continue;
    highest = std::max(highest.value_or(0), it.ConfigOffset);
  }
  return highest;
}

} // namespace

Recovery::Recovery(const chart::Chart &chart, NodeId self,
                   std::string dataCentre, RecoverySettings settings,
                   base::TimePoint now)
    : Self(std::move(self)), DataCentre(std::move(dataCentre)),
      Settings(settings), Started(now),
      Chart(chart,
            {&Recovery::serve, &Recovery::readLog, &Recovery::leaveLog}) {}

std::optional<Recovery> Recovery::create(NodeId self, std::string dataCentre,
                                         RecoverySettings settings,
                                         base::TimePoint now,
                                         base::LastReason &reason) {
  const auto *chart = sharedChart(reason);
  if (!chart)
    return std::nullopt;
  return Recovery(*chart, std::move(self), std::move(dataCentre), settings,
                  now);
}

void Recovery::logRead(bool reached, log::Offset first, log::Offset end) {
  LogTried = true;
  LogReached = reached;
  if (!reached)
    return;
  LogFirst = first;
  LogEnd = end;
}

bool Recovery::isCaughtUp(const MemberTable &table, log::Offset inForce) const {
  auto local = servedBy(table, Self, &DataCentre);
  if (local)
    return inForce >= *local;
  auto any = servedBy(table, Self, nullptr);
  if (any && inForce < *any)
    return false;
  bool hasWholeLog = LogReached && inForce + 1 >= LogEnd;
  // Another data centre's state is enough while the platform is down.
  bool hasPeersWord = any && LogTried && !LogReached;
  return hasWholeLog || hasPeersWord;
}

std::string_view Recovery::eventFor(const MemberTable &table,
                                    log::Offset inForce,
                                    base::TimePoint now) const {
  if (Settings.HasSeeds && now < Started + Settings.JoinGrace)
    return {};
  bool hasLocalPeer = servedBy(table, Self, &DataCentre).has_value();
  const auto &state = stateName();
  if (state == "from-peers" && !hasLocalPeer)
    return "no-peer";
  if (state != "from-peers" && hasLocalPeer)
    return "peer-found";
  if (state == "joining")
    return "no-peer";
  if (state == "waiting" && LogReached && !needsState(inForce))
    return "log-found";
  if (isCaughtUp(table, inForce))
    return state == "waiting" ? "log-found" : "caught-up";
  bool hasAnyPeer = servedBy(table, Self, nullptr).has_value();
  bool isLogOfUse = !LogTried || (LogReached && !needsState(inForce));
  return !hasAnyPeer && !isLogOfUse ? "no-source" : "";
}

void Recovery::look(const MemberTable &table, log::Offset inForce,
                    base::TimePoint now) {
  // Each event leads to another state, so a few steps reach the last one.
  constexpr int MaximumSteps = 4;
  for (int n = 0; n < MaximumSteps && !Serving; ++n) {
    auto event = eventFor(table, inForce, now);
    if (event.empty() || !Chart.take(*this, event))
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
