#include <LibConfig/Impact.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace radishcross::config {

namespace {

using base::ResultCode;
using boost::json::array;
using boost::json::object;
using boost::json::value;

/// Method used to look up a route that matches every method.
constexpr std::string_view AnyMethod = "GET";

/// Maps a limit's key to its usage and to its configured value.
struct LimitField {
  std::string_view Key;
  uint32_t ServiceUsage::*InUse;
  uint32_t ServiceLimits::*Proposed;
};

constexpr LimitField Limits[] = {
    {"queue_length", &ServiceUsage::QueueLength, &ServiceLimits::QueueLength},
    {"retry_budget_percent", &ServiceUsage::RetryPercent,
     &ServiceLimits::RetryBudgetPercent},
};

/// Maps a key of a usage document to a member.
struct UsageField {
  std::string_view Key;
  uint32_t ServiceUsage::*Member;
};

constexpr UsageField UsageFields[] = {
    {"targets", &ServiceUsage::Targets},
    {"queue_length", &ServiceUsage::QueueLength},
    {"retry_percent", &ServiceUsage::RetryPercent},
};

double numberAt(const value &from, std::string_view key) {
  const auto *object = from.if_object();
  const auto *found = object ? object->if_contains(key) : nullptr;
  boost::json::error_code ec;
  double n = found && found->is_number() ? found->to_number<double>(ec) : 0;
  return std::isfinite(n) && n > 0 ? n : 0;
}

uint32_t countAt(const value &from, std::string_view key) {
  return static_cast<uint32_t>(
      std::min<double>(numberAt(from, key), UINT32_MAX));
}

/// Returns the list at \p key, an empty list if the key is missing, or null if
/// its value is no list or \p document is no object.
const array *listAt(const value &document, std::string_view key) {
  static const array empty;
  const auto *root = document.if_object();
  if (!root)
    return nullptr;
  const auto *found = root->if_contains(key);
  return found ? found->if_array() : &empty;
}

/// Returns the string at \p key, or an empty one if there is none.
std::string stringAt(const value &from, std::string_view key) {
  const auto *object = from.if_object();
  const auto *found = object ? object->if_contains(key) : nullptr;
  return found && found->is_string() ? std::string(found->get_string())
                                     : std::string();
}

std::vector<std::string_view> methodsOf(const Route &route) {
  std::vector<std::string_view> out(route.Match.Methods.begin(),
                                    route.Match.Methods.end());
  if (out.empty())
    out.push_back(AnyMethod);
  return out;
}

/// Compares how one route's requests are handled now and by the candidate.
class RouteComparison {
public:
  RouteComparison(const Snapshot &current, const Snapshot &candidate)
      : Current(current), Candidate(candidate) {}

  /// Looks up each of the route's methods; the worst result counts.
  void compare(const Route &route) {
    for (auto method : methodsOf(route)) {
      const auto &match = route.Match;
      auto currentRoute =
          Current.findRoute(method, match.Host, match.PathPrefix);
      // Another route already has precedence for these requests.
      if (currentRoute.Matched != &route)
        continue;
      auto candidateRoute =
          Candidate.findRoute(method, match.Host, match.PathPrefix);
      IsLost = IsLost || !candidateRoute.Matched;
      if (!candidateRoute.Matched)
        continue;
      IsDemoted =
          IsDemoted || candidateRoute.Matched->CallRank > route.CallRank;
      for (const auto &it : *candidateRoute.Destinations)
        if (it.Weight > 0)
          Services.insert(*it.ServiceName);
    }
  }

  bool IsLost = false;
  bool IsDemoted = false;
  std::set<std::string> Services; ///< Would receive the requests.

private:
  const Snapshot &Current;
  const Snapshot &Candidate;
};

bool hasTargets(const Usage &usage, const std::string &service) {
  if (usage.Services.empty())
    return true;
  auto it = usage.Services.find(service);
  return it != usage.Services.end() && it->second.Targets > 0;
}

void compareLimits(const Snapshot &current, const Snapshot &candidate,
                   const Usage &usage, Impact &out) {
  for (const auto &[name, used] : usage.Services) {
    const auto *older = current.findService(name);
    const auto *newer = candidate.findService(name);
    if (!older || !newer)
      continue;
    for (const auto &row : Limits) {
      uint32_t proposed = newer->Limits.*row.Proposed;
      bool tightened = proposed < older->Limits.*row.Proposed;
      if (tightened && proposed < used.*row.InUse)
        out.TightenedLimits.push_back(
            {name, std::string(row.Key), used.*row.InUse, proposed});
    }
  }
}

array encodeRoutes(const std::vector<AffectedRoute> &routes) {
  array out;
  for (const auto &it : routes)
    out.push_back(object{{"route", it.Name},
                         {"rank", base::nameOf(RankNames, it.CallRank)},
                         {"calls_per_second", it.CallsPerSecond}});
  return out;
}

} // namespace

bool Impact::isHarmless() const {
  return LostRoutes.empty() && DemotedRoutes.empty() &&
         WithoutTargets.empty() && TightenedLimits.empty();
}

void Usage::add(const Usage &other) {
  for (const auto &[name, calls] : other.CallsPerSecond)
    CallsPerSecond[name] += calls;
  for (const auto &[name, used] : other.Services) {
    auto &sum = Services[name];
    sum.Targets += used.Targets;
    sum.QueueLength = std::max(sum.QueueLength, used.QueueLength);
    sum.RetryPercent = std::max(sum.RetryPercent, used.RetryPercent);
  }
}

std::optional<Usage> decodeUsage(const value &document,
                                 base::LastReason &reason) {
  const auto *routes = listAt(document, "routes");
  const auto *services = listAt(document, "services");
  if (!routes || !services)
    return reason.fail(ResultCode::WrongType,
                       "usage: expected lists \"routes\" and \"services\"");
  Usage out;
  for (const auto &it : *routes)
    out.CallsPerSecond[stringAt(it, "route")] +=
        numberAt(it, "calls_per_second");
  for (const auto &it : *services)
    for (const auto &row : UsageFields)
      out.Services[stringAt(it, "service")].*row.Member = countAt(it, row.Key);
  return out;
}

Impact compareImpact(const Snapshot &current, const Snapshot &candidate,
                     const Usage &usage) {
  Impact out;
  std::set<std::string> withoutTargets;
  for (const auto &held : current.versions()) {
    for (const auto &route : held.Content->Routes) {
      std::string name = held.Configuration;
      name += '/';
      name += route.Name;
      auto calls = usage.CallsPerSecond.find(name);
      if (calls == usage.CallsPerSecond.end() || calls->second <= 0)
        continue;
      RouteComparison comparison(current, candidate);
      comparison.compare(route);
      AffectedRoute affected{name, route.CallRank, calls->second};
      if (comparison.IsLost) {
        out.LostCallsPerSecond[static_cast<size_t>(route.CallRank)] +=
            calls->second;
        out.LostRoutes.push_back(affected);
      }
      if (comparison.IsDemoted)
        out.DemotedRoutes.push_back(affected);
      for (const auto &service : comparison.Services)
        if (!hasTargets(usage, service))
          withoutTargets.insert(service);
    }
  }
  out.WithoutTargets.assign(withoutTargets.begin(), withoutTargets.end());
  compareLimits(current, candidate, usage, out);
  return out;
}

std::vector<std::string>
servicesLosingLastTarget(const Usage &usage,
                         const std::map<std::string, uint32_t> &targets) {
  std::vector<std::string> out;
  for (const auto &[name, leaving] : targets) {
    auto it = usage.Services.find(name);
    bool served = it != usage.Services.end() && it->second.Targets > 0;
    if (served && it->second.Targets <= leaving)
      out.push_back(name);
  }
  return out;
}

value encodeImpact(const Impact &impact) {
  object lost;
  for (const auto &row : RankNames)
    lost[row.Name] =
        impact.LostCallsPerSecond.at(static_cast<size_t>(row.Value));
  array withoutTargets(impact.WithoutTargets.begin(),
                       impact.WithoutTargets.end());
  array limits;
  for (const auto &it : impact.TightenedLimits)
    limits.push_back(object{{"service", it.Service},
                            {"limit", it.Limit},
                            {"in_use", it.InUse},
                            {"proposed", it.Proposed}});
  return object{{"harmless", impact.isHarmless()},
                {"lost_routes", encodeRoutes(impact.LostRoutes)},
                {"lost_calls_per_second", std::move(lost)},
                {"demoted_routes", encodeRoutes(impact.DemotedRoutes)},
                {"without_targets", std::move(withoutTargets)},
                {"tightened_limits", std::move(limits)}};
}

} // namespace radishcross::config
