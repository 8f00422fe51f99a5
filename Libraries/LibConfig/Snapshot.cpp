#include <LibConfig/Snapshot.h>

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace radishcross::config {

namespace {

using base::ResultCode;

/// Returns the qualified form "configuration/name" of a reference that appears
/// in \p configuration.
std::string qualifiedName(std::string_view configuration,
                          std::string_view reference) {
  if (reference.find('/') != std::string_view::npos)
    return std::string(reference);
  return std::string(configuration) + "/" + std::string(reference);
}

std::string describe(const ConfigurationVersion &version, const Route &route) {
  return "route " + version.Configuration + "/" + route.Name + " of version " +
         std::to_string(version.Version);
}

} // namespace

struct Snapshot::Index {
  /// Map nodes have stable addresses, so that route entries can point to keys.
  std::map<std::string, const Service *, std::less<>> Services;
  RouteIndex Routes;
  std::set<std::string_view> TenantNames;
  std::set<std::string_view> TenantKeys;

  bool addServices(const ConfigurationVersion &version,
                   base::LastReason &reason) {
    for (const auto &it : version.Content->Services) {
      auto name = qualifiedName(version.Configuration, it.Name);
      if (Services.emplace(name, &it).second)
        continue;
      reason.fail(ResultCode::DuplicateName,
                  "service " + name + " is defined twice");
      return false;
    }
    return true;
  }

  /// The name of a tenant stands alone in headers, so it is unique among all
  /// configurations, as its keys are.
  bool addTenants(const ConfigurationVersion &version,
                  base::LastReason &reason) {
    for (const auto &it : version.Content->Tenants) {
      if (!TenantNames.insert(it.Name).second) {
        reason.fail(ResultCode::DuplicateName,
                    "tenant " + it.Name + " is defined twice");
        return false;
      }
      for (const auto &key : it.KeyHashes) {
        if (TenantKeys.insert(key).second)
          continue;
        reason.fail(ResultCode::BadValue,
                    "a key of tenant " + it.Name + " is another's too");
        return false;
      }
    }
    return true;
  }

  /// Returns the destinations of a route. Fails with DanglingReference.
  std::optional<std::vector<Destination>>
  destinationsOf(const ConfigurationVersion &version, const Route &route,
                 base::LastReason &reason) const {
    auto weightedServices = route.Split;
    if (weightedServices.empty())
      weightedServices.push_back({route.Service, 1});
    std::vector<Destination> out;
    for (const auto &it : weightedServices) {
      auto name = qualifiedName(version.Configuration, it.Service);
      auto service = Services.find(name);
      if (service == Services.end())
        return reason.fail(ResultCode::DanglingReference,
                           describe(version, route) + " refers to service " +
                               name + ", which is not held");
      out.push_back({service->second, &service->first, it.Weight});
    }
    return out;
  }

  bool addRoutes(const ConfigurationVersion &version,
                 base::LastReason &reason) {
    for (const auto &route : version.Content->Routes) {
      auto destinations = destinationsOf(version, route, reason);
      if (!destinations)
        return false;
      const auto *other = Routes.add({&route, std::move(*destinations)});
      if (!other)
        continue;
      reason.fail(ResultCode::AmbiguousRoute,
                  describe(version, route) + " matches the same requests as " +
                      "route " + other->Name);
      return false;
    }
    return true;
  }
};

std::optional<std::shared_ptr<const Snapshot>>
Snapshot::create(std::vector<ConfigurationVersion> versions, uint64_t offset,
                 base::LastReason &reason) {
  std::sort(versions.begin(), versions.end(),
            [](const ConfigurationVersion &a, const ConfigurationVersion &b) {
              return a.Configuration < b.Configuration;
            });
  auto index = std::make_shared<Index>();
  const std::string *last = nullptr;
  for (const auto &it : versions) {
    if (last && *last == it.Configuration)
      return reason.fail(ResultCode::DuplicateName,
                         "configuration " + it.Configuration +
                             " is given in two versions");
    last = &it.Configuration;
    if (!index->addServices(it, reason) || !index->addTenants(it, reason))
      return std::nullopt;
  }
  for (const auto &it : versions)
    if (!index->addRoutes(it, reason))
      return std::nullopt;
  std::shared_ptr<Snapshot> out(new Snapshot);
  out->Versions = std::move(versions);
  out->LogOffset = offset;
  out->Indexes = std::move(index);
  return out;
}

ResolvedRoute Snapshot::findRoute(std::string_view method,
                                  std::string_view host,
                                  std::string_view path) const {
  const auto *entry = Indexes->Routes.find(method, host, path);
  if (!entry)
    return {};
  const auto &first = entry->Destinations.front();
  return {entry->Matched, first.ServiceDefinition, *first.ServiceName,
          &entry->Destinations};
}

ClientLimits Snapshot::clientLimits() const {
  std::optional<ClientLimits> out;
  for (const auto &it : Versions) {
    const auto &limits = it.Content->Limits;
    if (!limits)
      continue;
    if (!out) {
      out = limits;
      continue;
    }
    out->HeaderBytes = std::min(out->HeaderBytes, limits->HeaderBytes);
    out->BodyBytes = std::min(out->BodyBytes, limits->BodyBytes);
    out->HeaderTimeout = std::min(out->HeaderTimeout, limits->HeaderTimeout);
    out->IdleTimeout = std::min(out->IdleTimeout, limits->IdleTimeout);
  }
  return out.value_or(ClientLimits());
}

const Service *Snapshot::findService(std::string_view name) const {
  auto it = Indexes->Services.find(name);
  return it == Indexes->Services.end() ? nullptr : it->second;
}

const ConfigurationVersion *Snapshot::versionWith(const Route *route) const {
  const std::less<const Route *> isBefore;
  for (const auto &it : Versions) {
    const auto &routes = it.Content->Routes;
    const auto *first = routes.data();
    if (!isBefore(route, first) && isBefore(route, first + routes.size()))
      return &it;
  }
  return nullptr;
}

uint64_t Snapshot::versionOf(std::string_view configuration) const {
  auto it =
      std::lower_bound(Versions.begin(), Versions.end(), configuration,
                       [](const ConfigurationVersion &a, std::string_view b) {
                         return a.Configuration < b;
                       });
  bool found = it != Versions.end() && it->Configuration == configuration;
  return found ? it->Version : 0;
}

} // namespace radishcross::config
