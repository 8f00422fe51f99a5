#include <LibConfig/Names.h>
#include <LibConfig/VersionContentCheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace radishcross::config {

namespace {

using base::ResultCode;

bool isHost(std::string_view text) {
  return text.empty() ||
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-._:[]") ==
             std::string_view::npos;
}

/// Returns true if \p text is a normalised absolute path: no empty, "." or ".."
/// segment, no query, and no character that a target could interpret
/// differently.
bool isPathPrefix(std::string_view text) {
  if (text.empty() || text[0] != '/')
    return false;
  if (text.size() == 1)
    return true;
  if (text.back() == '/')
    text.remove_suffix(1);
  for (char c : text)
    if (c <= ' ' || c > '~' || c == '?' || c == '#' || c == '%' || c == '\\')
      return false;
  for (size_t at = 0; at < text.size();) {
    size_t next = std::min(text.find('/', at + 1), text.size());
    auto segment = text.substr(at + 1, next - at - 1);
    if (segment.empty() || segment == "." || segment == "..")
      return false;
    at = next;
  }
  return true;
}

std::nullopt_t failAt(const std::string &path, ResultCode code,
                      const std::string &found, const std::string &expected,
                      base::LastReason &reason) {
  return reason.fail(code,
                     path + ": found \"" + found + "\", expected " + expected);
}

bool checkServices(const std::vector<Service> &services,
                   std::set<std::string_view> &names,
                   base::LastReason &reason) {
  for (size_t i = 0; i < services.size(); ++i) {
    const auto &name = services[i].Name;
    std::string element = "services[" + std::to_string(i) + "]";
    std::string path = element + ".name";
    if (!isHealthPath(services[i].HealthPath)) {
      failAt(element + ".health_path", ResultCode::BadValue,
             services[i].HealthPath,
             "nothing, or an absolute path of printable characters", reason);
      return false;
    }
    if (!isName(name)) {
      failAt(path, ResultCode::BadValue, name,
             "letters, digits, '-', '_' and '.'", reason);
      return false;
    }
    if (!names.insert(name).second) {
      failAt(path, ResultCode::DuplicateName, name, "a name not used before",
             reason);
      return false;
    }
  }
  return true;
}

/// One validation rule for routes; a violation fails with Code.
struct RouteRule {
  std::string_view Key;
  ResultCode Code;
  std::string_view Expected;
  bool (*IsValid)(const Route &route);
  std::string (*FoundValue)(const Route &route);
};

constexpr RouteRule RouteRules[] = {
    {"name", ResultCode::BadValue, "letters, digits, '-', '_' and '.'",
     [](const Route &it) { return isName(it.Name); },
     [](const Route &it) { return it.Name; }},
    {"match.host", ResultCode::BadRoute, "a host name without a port",
     [](const Route &it) { return isHost(it.Match.Host); },
     [](const Route &it) { return it.Match.Host; }},
    {"match.path_prefix", ResultCode::BadRoute,
     "an absolute path without empty or dot segments, query or escapes",
     [](const Route &it) { return isPathPrefix(it.Match.PathPrefix); },
     [](const Route &it) { return it.Match.PathPrefix; }},
    {"deadline_ms", ResultCode::BadRoute, "a time above 0",
     [](const Route &it) { return it.Deadline.count() > 0; },
     [](const Route &it) { return std::to_string(it.Deadline.count()); }},
};

/// A reference from a route to a service, with the key that contains it.
struct Reference {
  std::string Key;
  std::string Service;
};

std::vector<Reference> referencesOf(const Route &route) {
  if (route.Split.empty())
    return {{".service", route.Service}};
  std::vector<Reference> out;
  for (size_t i = 0; i < route.Split.size(); ++i)
    out.push_back(
        {".split[" + std::to_string(i) + "].service", route.Split[i].Service});
  return out;
}

/// Fails unless \p name is a well-formed reference; one without a configuration
/// must name one of \p services.
bool checkReference(const std::string &name, const std::string &path,
                    const std::set<std::string_view> &services,
                    base::LastReason &reason) {
  if (!isServiceReference(name)) {
    failAt(path, ResultCode::BadValue, name,
           "\"name\" or \"configuration/name\"", reason);
    return false;
  }
  bool isLocal = name.find('/') == std::string::npos;
  if (!isLocal || services.contains(name))
    return true;
  failAt(path, ResultCode::DanglingReference, name,
         "a service of this configuration", reason);
  return false;
}

/// Fails if every weight of a split is 0.
bool checkWeights(const Route &route, const std::string &path,
                  base::LastReason &reason) {
  bool hasWeight = std::any_of(route.Split.begin(), route.Split.end(),
                               [](const auto &it) { return it.Weight > 0; });
  if (route.Split.empty() || hasWeight)
    return true;
  failAt(path + ".split", ResultCode::BadRoute, "0", "a weight above 0",
         reason);
  return false;
}

bool checkRoute(const Route &route, const std::string &path,
                const std::set<std::string_view> &services,
                base::LastReason &reason) {
  for (const auto &rule : RouteRules) {
    if (rule.IsValid(route))
      continue;
    failAt(path + "." + std::string(rule.Key), rule.Code,
           rule.FoundValue(route), std::string(rule.Expected), reason);
    return false;
  }
  for (const auto &it : referencesOf(route))
    if (!checkReference(it.Service, path + it.Key, services, reason))
      return false;
  return checkWeights(route, path, reason);
}

/// Key of a request match, unique among the routes of a configuration.
std::string matchKey(const RouteMatch &match, std::string_view method) {
  return match.PathPrefix + '\n' + match.Host + '\n' + std::string(method);
}

bool checkAmbiguity(const Route &route, const std::string &path,
                    std::set<std::string> &seen, base::LastReason &reason) {
  auto methods = route.Match.Methods;
  if (methods.empty())
    methods.emplace_back();
  for (const auto &method : methods) {
    if (seen.insert(matchKey(route.Match, method)).second)
      continue;
    failAt(path + ".match", ResultCode::AmbiguousRoute, route.Match.PathPrefix,
           "a match that no other route has", reason);
    return false;
  }
  return true;
}

bool checkRoutes(const std::vector<Route> &routes,
                 const std::set<std::string_view> &services,
                 base::LastReason &reason) {
  std::set<std::string_view> names;
  std::set<std::string> matches;
  for (size_t i = 0; i < routes.size(); ++i) {
    std::string path = "routes[" + std::to_string(i) + "]";
    if (!checkRoute(routes[i], path, services, reason))
      return false;
    if (!names.insert(routes[i].Name).second) {
      failAt(path + ".name", ResultCode::DuplicateName, routes[i].Name,
             "a name not used before", reason);
      return false;
    }
    if (!checkAmbiguity(routes[i], path, matches, reason))
      return false;
  }
  return true;
}

/// Fails unless every tenant has a name and no key is listed twice. The key
/// itself is not part of the reason.
bool checkTenants(const std::vector<Tenant> &tenants,
                  base::LastReason &reason) {
  std::set<std::string_view> names;
  std::set<std::string_view> keys;
  for (size_t i = 0; i < tenants.size(); ++i) {
    const auto &tenant = tenants[i];
    std::string path = "tenants[" + std::to_string(i) + "]";
    if (!isName(tenant.Name)) {
      failAt(path + ".name", ResultCode::BadValue, tenant.Name,
             "letters, digits, '-', '_' and '.'", reason);
      return false;
    }
    if (!names.insert(tenant.Name).second) {
      failAt(path + ".name", ResultCode::DuplicateName, tenant.Name,
             "a name not used before", reason);
      return false;
    }
    for (const auto &it : tenant.KeyHashes) {
      if (keys.insert(it).second)
        continue;
      failAt(path, ResultCode::BadValue, "a key that is listed twice",
             "each key once, in one tenant", reason);
      return false;
    }
  }
  return true;
}

} // namespace

bool isHealthPath(std::string_view text) {
  return text.empty() ||
         (text[0] == '/' && std::all_of(text.begin(), text.end(), [](char c) {
            return c > ' ' && c <= '~' && c != '#';
          }));
}

bool checkVersionContent(const VersionContent &content,
                         base::LastReason &reason) {
  std::set<std::string_view> services;
  return checkServices(content.Services, services, reason) &&
         checkRoutes(content.Routes, services, reason) &&
         checkTenants(content.Tenants, reason);
}

} // namespace radishcross::config
