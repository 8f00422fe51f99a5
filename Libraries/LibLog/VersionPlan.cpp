#include <LibLog/VersionPlan.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;

std::string fullName(const std::string &configuration,
                     const std::string &reference) {
  return reference.find('/') == std::string::npos
             ? configuration + "/" + reference
             : reference;
}

std::string_view configurationOf(std::string_view service) {
  return service.substr(0, service.find('/'));
}

void addMatchKeys(const config::RouteMatch &match,
                  std::vector<std::string> &out) {
  std::string where = match.PathPrefix + '\n' + match.Host + '\n';
  if (match.Methods.empty())
    out.push_back(where);
  for (const auto &it : match.Methods)
    out.push_back(where + it);
}

std::string describeUse(const std::string &configuration,
                        const std::string &route, const std::string &service,
                        bool removed) {
  std::string out = "route " + configuration + "/" + route;
  out += removed ? " still uses service " : " needs service ";
  out += service;
  return removed ? out : out + ", which is not held";
}

} // namespace

VersionPlan::Summary
VersionPlan::summarise(const config::ConfigurationVersion &version) {
  Summary out;
  for (const auto &it : version.Content->Services)
    out.Services.push_back(fullName(version.Configuration, it.Name));
  std::sort(out.Services.begin(), out.Services.end());
  for (const auto &it : version.Content->Routes) {
    out.RouteByService.emplace(fullName(version.Configuration, it.Service),
                               it.Name);
    addMatchKeys(it.Match, out.MatchKeys);
  }
  return out;
}

bool VersionPlan::hasService(const Summary &summary, std::string_view service) {
  return std::binary_search(summary.Services.begin(), summary.Services.end(),
                            service);
}

VersionPlan::VersionPlan(const std::vector<config::ConfigurationVersion> &held,
                         const std::vector<Candidate> &candidates) {
  for (const auto &it : held) {
    auto &entry = Entries[it.Configuration];
    entry.Held = &it;
    entry.HeldSummary = summarise(it);
  }
  for (const auto &it : candidates) {
    auto &entry = Entries[it.Version.Configuration];
    entry.Next = &it;
    entry.NextSummary = summarise(it.Version);
    entry.IsSelected = true;
  }
  deferConflicting();
  retryDeferred();
}

/// Deselects candidates until all references of the remaining ones resolve.
void VersionPlan::deferConflicting() {
  for (auto found = conflicts(); !found.empty(); found = conflicts()) {
    for (auto &it : found) {
      if (!it.Waiting->IsSelected)
        continue;
      it.Waiting->IsSelected = false;
      it.Waiting->Code = it.Code;
      it.Waiting->Reason = std::move(it.Reason);
    }
  }
}

/// Selects deferred candidates again where possible: a candidate may have been
/// deferred because of one that was itself deferred later.
void VersionPlan::retryDeferred() {
  bool again = true;
  while (again) {
    again = false;
    for (auto &[name, entry] : Entries) {
      if (!entry.Next || entry.IsSelected)
        continue;
      entry.IsSelected = true;
      bool fits = conflicts().empty();
      entry.IsSelected = fits;
      again = again || fits;
    }
  }
}

/// Returns all conflicts of the first kind that occurs. The order of the kinds
/// makes sure that a version that cannot be taken in any case is found before
/// those that would be deferred because of it.
std::vector<VersionPlan::Conflict> VersionPlan::conflicts() {
  auto found = missingServices(false);
  if (found.empty())
    found = missingServices(true);
  return found.empty() ? ambiguousRoutes() : found;
}

std::vector<VersionPlan::Conflict>
VersionPlan::missingServices(bool isRemoval) {
  std::vector<Conflict> out;
  for (auto &[name, entry] : Entries) {
    for (const auto &[service, route] : entry.current().RouteByService) {
      auto owner = Entries.find(configurationOf(service));
      bool isKnown = owner != Entries.end();
      if (isKnown && hasService(owner->second.current(), service))
        continue;
      bool removed = isKnown && owner->second.IsSelected &&
                     hasService(owner->second.HeldSummary, service);
      if (removed != isRemoval)
        continue;
      Entry *deferred = removed ? &owner->second : &entry;
      if (deferred->IsSelected)
        out.push_back({deferred, ResultCode::WaitingForReference,
                       describeUse(name, route, service, removed)});
    }
  }
  return out;
}

std::vector<VersionPlan::Conflict> VersionPlan::ambiguousRoutes() {
  std::vector<Conflict> out;
  std::unordered_map<std::string_view, Entry *> seen;
  for (auto &[name, entry] : Entries) {
    for (const auto &match : entry.current().MatchKeys) {
      auto [it, isNew] = seen.emplace(match, &entry);
      Entry *other = it->second;
      if (isNew || other == &entry || (!entry.IsSelected && !other->IsSelected))
        continue;
      // If both are new, the one that was accepted later is deferred.
      bool isThisDeferred =
          entry.IsSelected &&
          (!other->IsSelected || entry.Next->At >= other->Next->At);
      Entry *deferred = isThisDeferred ? &entry : other;
      auto prefix = match.substr(0, match.find('\n'));
      out.push_back({deferred, ResultCode::AmbiguousRoute,
                     "a route of another configuration matches the same "
                     "requests below " +
                         prefix});
    }
  }
  return out;
}

std::vector<config::ConfigurationVersion> VersionPlan::result() const {
  std::vector<config::ConfigurationVersion> out;
  for (const auto &[name, entry] : Entries) {
    if (entry.IsSelected)
      out.push_back(entry.Next->Version);
    else if (entry.Held)
      out.push_back(*entry.Held);
  }
  return out;
}

std::vector<WaitingVersion> VersionPlan::waiting() const {
  std::vector<WaitingVersion> out;
  for (const auto &[name, entry] : Entries)
    if (entry.Next && !entry.IsSelected)
      out.push_back(
          {name, entry.Next->Version.Version, entry.Code, entry.Reason});
  return out;
}

} // namespace radishcross::log
