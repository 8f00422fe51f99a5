#include <LibConfig/ContentRepair.h>
#include <LibConfig/RepairTools.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace radishcross::config {

namespace {

using detail::matchKeys;
using detail::quoted;
using detail::servicesOf;

/// Repairs one version. Names that were seen belong to earlier entries.
class ContentRepairer {
public:
  explicit ContentRepairer(VersionContent &content) : Content(content) {}

  Repairs repair() {
    repairServices();
    repairRoutes();
    repairTenants();
    return std::move(Done);
  }

private:
  void repairServices() {
    std::erase_if(Content.Services, [this](const Service &it) {
      const bool isKnown = !Services.insert(it.Name).second;
      if (isKnown)
        Done.push_back("service " + quoted(it.Name) + " is defined twice");
      return isKnown;
    });
  }

  void repairRoutes() {
    std::erase_if(Content.Routes, [this](const Route &it) {
      const auto keys = matchKeys(it.Match);
      const bool isKnown =
          std::any_of(keys.begin(), keys.end(),
                      [&](const auto &key) { return Matches.contains(key); });
      if (isKnown)
        Done.push_back("route " + quoted(it.Name) +
                       " matches what an earlier one does");
      Matches.insert(keys.begin(), keys.end());
      return isKnown;
    });
    for (auto &it : Content.Routes) {
      repairName(it);
      repairDestinations(it);
    }
  }

  void repairName(Route &route) {
    const auto name = route.Name;
    for (int n = 2; !Routes.insert(route.Name).second; ++n)
      route.Name = name + '~' + std::to_string(n);
    if (route.Name != name)
      Done.push_back("two routes are named " + quoted(name));
  }

  void repairDestinations(Route &route) {
    const bool hasWeight =
        route.Split.empty() ||
        std::any_of(route.Split.begin(), route.Split.end(),
                    [](const auto &it) { return it.Weight > 0; });
    if (!hasWeight) {
      Done.push_back("route " + quoted(route.Name) + " has no weight above 0");
      route.Split.clear();
      route.Service = MissingServiceName;
    }
    for (const auto &it : servicesOf(route)) {
      if (!Services.insert(it.Service).second)
        continue;
      Content.Services.push_back({it.Service, {}});
      Done.push_back("route " + quoted(route.Name) + " refers to service " +
                     quoted(it.Service) + ", which is not defined");
    }
  }

  void repairTenants() {
    std::map<std::string, Tenant *> byName;
    std::vector<Tenant> tenants;
    tenants.reserve(Content.Tenants.size());
    for (auto &it : Content.Tenants) {
      const auto known = byName.find(it.Name);
      if (known == byName.end()) {
        tenants.push_back(it);
        tenants.back().KeyHashes.clear();
        byName[it.Name] = &tenants.back();
      } else {
        Done.push_back("tenant " + quoted(it.Name) + " is defined twice");
      }
      addKeys(*byName[it.Name], it.KeyHashes);
    }
    Content.Tenants = std::move(tenants);
  }

  void addKeys(Tenant &tenant, const std::vector<std::string> &hashes) {
    for (const auto &it : hashes) {
      if (Keys.insert(it).second)
        tenant.KeyHashes.push_back(it);
      else
        Done.push_back("a key of tenant " + quoted(tenant.Name) +
                       " is listed twice");
    }
  }

  VersionContent &Content;
  Repairs Done;
  std::set<std::string> Services;
  std::set<std::string> Matches;
  std::set<std::string> Routes;
  std::set<std::string> Keys;
};

} // namespace

Repairs repairContent(VersionContent &content) {
  return ContentRepairer(content).repair();
}

} // namespace radishcross::config
