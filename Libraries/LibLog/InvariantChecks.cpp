#include <LibConfig/VersionContentCodec.h>
#include <LibLog/InvariantChecks.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace radishcross::log {

namespace {

using Kind = FleetEvent::Kind;

constexpr std::string_view NeverBack = "never-back";
constexpr std::string_view NoDanglingReference = "no-dangling-reference";
constexpr std::string_view NoPartialVersion = "no-partial-version";
constexpr std::string_view AcceptedInForce = "accepted-in-force";

/// Configuration and number of a version.
using VersionKey = std::pair<std::string, uint64_t>;

std::string describe(const std::string &configuration, uint64_t version) {
  return configuration + " version " + std::to_string(version);
}

uint64_t versionIn(const FleetEvent &event, const std::string &configuration) {
  for (const auto &it : event.Versions)
    if (it.Configuration == configuration)
      return it.Version;
  return 0;
}

std::set<std::string> servicesIn(const FleetEvent &event) {
  std::set<std::string> out;
  for (const auto &held : event.Versions)
    for (const auto &it : held.Content->Services)
      out.insert(std::string(held.Configuration).append("/").append(it.Name));
  return out;
}

std::string fullName(const std::string &configuration,
                     const std::string &service) {
  return service.find('/') == std::string::npos ? configuration + "/" + service
                                                : service;
}

std::optional<Violation> findDanglingReference(const FleetEvent &event) {
  auto services = servicesIn(event);
  for (const auto &held : event.Versions) {
    for (const auto &route : held.Content->Routes) {
      auto service = fullName(held.Configuration, route.Service);
      if (services.contains(service))
        continue;
      return Violation{NoDanglingReference, event.AtMicroseconds,
                       event.Nodes[0] + " holds route " + held.Configuration +
                           "/" + route.Name + " without service " + service};
    }
  }
  return std::nullopt;
}

std::string canonical(const config::ConfigurationVersion &held) {
  return schema::canonicalJson(config::encodeVersionContent(*held.Content));
}

/// Checks one accepted version on one selected node over the later events.
class InForceCheck {
public:
  InForceCheck(const FleetEvent &accepted, std::string node, int64_t bound)
      : Expected(accepted.Versions[0]), Node(std::move(node)),
        DueAt(accepted.AtMicroseconds + bound) {}

  /// Processes the next event and returns the violation that it reveals.
  std::optional<Violation> take(const FleetEvent &event) {
    if (event.AtMicroseconds > DueAt && Serves && !Holds)
      return violation(DueAt, "does not hold");
    if (event.What == Kind::Accepted || event.Nodes[0] != Node)
      return std::nullopt;
    Serves = event.What == Kind::Holding;
    if (!Serves)
      return std::nullopt;
    bool held = Holds;
    Holds = versionIn(event, Expected.Configuration) >= Expected.Version;
    if (held && !Holds)
      return violation(event.AtMicroseconds, "no longer holds");
    return std::nullopt;
  }

private:
  Violation violation(int64_t at, std::string_view what) const {
    return {AcceptedInForce, at,
            Node + " " + std::string(what) + " " +
                describe(Expected.Configuration, Expected.Version) +
                ", which was accepted and selects it"};
  }

  const config::ConfigurationVersion &Expected;
  std::string Node;
  int64_t DueAt;
  bool Serves = true;
  bool Holds = false;
};

/// Returns the last event of \p node in \p before, or null.
const FleetEvent *lastStateOf(FleetEvents before, const std::string &node) {
  const FleetEvent *out = nullptr;
  for (const auto &it : before)
    if (it.What != Kind::Accepted && it.Nodes[0] == node)
      out = &it;
  return out;
}

} // namespace

std::optional<Violation> checkNeverBack(FleetEvents events) {
  std::map<std::pair<std::string, std::string>, uint64_t> highest;
  for (const auto &event : events) {
    if (event.What != Kind::Holding)
      continue;
    for (const auto &it : event.Versions)
      highest.try_emplace({event.Nodes[0], it.Configuration}, 0);
    for (auto &[key, version] : highest) {
      if (key.first != event.Nodes[0])
        continue;
      uint64_t now = versionIn(event, key.second);
      if (now < version)
        return Violation{NeverBack, event.AtMicroseconds,
                         key.first + " went from " +
                             describe(key.second, version) + " back to " +
                             std::to_string(now)};
      version = now;
    }
  }
  return std::nullopt;
}

std::optional<Violation> checkNoDanglingReference(FleetEvents events) {
  for (const auto &event : events) {
    if (event.What != Kind::Holding)
      continue;
    if (auto found = findDanglingReference(event))
      return found;
  }
  return std::nullopt;
}

std::optional<Violation> checkNoPartialVersion(FleetEvents events) {
  std::map<VersionKey, std::string> accepted;
  for (const auto &event : events)
    if (event.What == Kind::Accepted)
      for (const auto &it : event.Versions)
        accepted[{it.Configuration, it.Version}] = canonical(it);
  for (const auto &event : events) {
    if (event.What != Kind::Holding)
      continue;
    for (const auto &it : event.Versions) {
      auto whole = accepted.find({it.Configuration, it.Version});
      if (whole != accepted.end() && whole->second == canonical(it))
        continue;
      return Violation{NoPartialVersion, event.AtMicroseconds,
                       event.Nodes[0] + " holds " +
                           describe(it.Configuration, it.Version) +
                           " with other content than was accepted"};
    }
  }
  return std::nullopt;
}

std::optional<Violation> checkAcceptedInForce(FleetEvents events,
                                              int64_t bound) {
  for (size_t i = 0; i < events.size(); ++i) {
    if (events[i].What != Kind::Accepted)
      continue;
    for (const auto &node : events[i].Nodes) {
      InForceCheck check(events[i], node, bound);
      if (const auto *before = lastStateOf(events.first(i), node))
        check.take(*before);
      for (const auto &event : events.subspan(i + 1))
        if (auto found = check.take(event))
          return found;
    }
  }
  return std::nullopt;
}

std::vector<Violation> checkInvariants(FleetEvents events) {
  const std::optional<Violation> found[] = {
      checkNeverBack(events), checkNoDanglingReference(events),
      checkNoPartialVersion(events),
      checkAcceptedInForce(events, ConvergenceBound)};
  std::vector<Violation> out;
  for (const auto &it : found)
    if (it)
      out.push_back(*it);
  return out;
}

} // namespace radishcross::log
