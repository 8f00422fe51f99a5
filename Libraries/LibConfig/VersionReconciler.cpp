#include <LibConfig/RepairTools.h>
#include <LibConfig/VersionReconciler.h>

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace radishcross::config {

namespace {

using detail::matchKeys;
using detail::quoted;
using detail::servicesOf;

/// Returns the qualified form of a name used in \p configuration.
std::string qualified(std::string_view configuration, std::string_view name) {
  if (name.find('/') != std::string_view::npos)
    return std::string(name);
  return std::string(configuration) + '/' + std::string(name);
}

/// Repairs the versions of all configurations but one, which precedes them.
class VersionReconciler {
public:
  VersionReconciler(const ConfigurationVersion &precedent,
                    VersionContent &content)
      : Precedent(precedent), Leading(content) {
    for (const auto &it : content.Services)
      Services.insert(qualified(precedent.Configuration, it.Name));
    for (const auto &it : content.Routes)
      for (auto &key : matchKeys(it.Match))
        Matches.insert(std::move(key));
    for (const auto &it : content.Tenants)
      Keys.insert(it.KeyHashes.begin(), it.KeyHashes.end());
  }

  void yield(const ConfigurationVersion &version, VersionContent &content) {
    Configuration = version.Configuration;
    std::erase_if(content.Services, [this](const Service &it) {
      return !Services.insert(qualified(Configuration, it.Name)).second &&
             note("service", it.Name);
    });
    std::erase_if(content.Routes, [this](const Route &it) {
      const auto keys = matchKeys(it.Match);
      return std::any_of(
                 keys.begin(), keys.end(),
                 [&](const auto &key) { return Matches.contains(key); }) &&
             note("the match of route", it.Name);
    });
    std::erase_if(content.Tenants,
                  [this](const Tenant &it) { return joinTenant(it); });
    for (auto &tenant : content.Tenants)
      std::erase_if(tenant.KeyHashes, [&](const std::string &it) {
        return Keys.contains(it) && note("a key of tenant", tenant.Name);
      });
  }

  /// Adds services of the precedent that a route of the others still names.
  void keepReferences(const ConfigurationVersion &version) {
    Configuration = version.Configuration;
    const auto prefix = Precedent.Configuration + '/';
    for (const auto &route : version.Content->Routes)
      for (const auto &it : servicesOf(route)) {
        const auto name = qualified(Configuration, it.Service);
        if (!name.starts_with(prefix) || !Services.insert(name).second)
          continue;
        Leading.Services.push_back({name.substr(prefix.size()), {}});
        Done.push_back("route " + quoted(route.Name) + " of " + Configuration +
                       " refers to service " + quoted(name) +
                       ", which is gone");
      }
  }

  Repairs takeRepairs() { return std::move(Done); }

private:
  bool note(std::string_view what, std::string_view name) {
    Done.push_back(std::string(what) + ' ' + quoted(name) + " of " +
                   Configuration + " is also " + Precedent.Configuration +
                   "'s, which precedes");
    return true;
  }

  /// The name of a tenant stands alone in headers, so one name is one tenant.
  bool joinTenant(const Tenant &tenant) {
    auto &all = Leading.Tenants;
    const auto it =
        std::find_if(all.begin(), all.end(), [&](const auto &other) {
          return other.Name == tenant.Name;
        });
    if (it == all.end())
      return false;
    for (const auto &key : tenant.KeyHashes)
      if (Keys.insert(key).second)
        it->KeyHashes.push_back(key);
    return note("tenant", tenant.Name);
  }

  const ConfigurationVersion &Precedent;
  VersionContent &Leading;
  std::string Configuration; ///< Of the version that yields.
  Repairs Done;
  std::set<std::string> Services;
  std::set<std::string> Matches;
  std::set<std::string> Keys;
};

} // namespace

Repairs reconcileVersions(std::vector<ConfigurationVersion> &versions,
                          std::string_view precedent) {
  // Of two with the precedent's name, the last was added for it.
  const auto found =
      std::find_if(versions.rbegin(), versions.rend(), [&](const auto &it) {
        return it.Configuration == precedent;
      });
  if (found == versions.rend())
    return {};
  const ConfigurationVersion leading = *found;
  const auto count = std::erase_if(
      versions, [&](const auto &it) { return it.Configuration == precedent; });
  auto content = std::make_shared<VersionContent>(*leading.Content);
  VersionReconciler reconciler(leading, *content);
  for (auto &it : versions) {
    auto yielding = std::make_shared<VersionContent>(*it.Content);
    reconciler.yield(it, *yielding);
    it.Content = std::move(yielding);
  }
  for (const auto &it : versions)
    reconciler.keepReferences(it);
  auto out = reconciler.takeRepairs();
  if (count > 1)
    out.push_back("another configuration is named " + quoted(precedent));
  versions.push_back({leading.Configuration, leading.Version, content});
  return out;
}

} // namespace radishcross::config
