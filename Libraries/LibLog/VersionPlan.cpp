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

void addMatches(const config::RouteMatch &match,
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
    out.UserOf.emplace(fullName(version.Configuration, it.Service), it.Name);
    addMatches(it.Match, out.Matches);
  }
  return out;
}

bool VersionPlan::has(const Summary &summary, std::string_view service) {
  return std::binary_search(summary.Services.begin(), summary.Services.end(),
                            service);
}

VersionPlan::VersionPlan(const std::vector<config::ConfigurationVersion> &held,
                         const std::vector<Candidate> &candidates) {
  for (const auto &it : held) {
    auto &line = Lines[it.Configuration];
    line.Held = &it;
    line.HeldSummary = summarise(it);
  }
  for (const auto &it : candidates) {
    auto &line = Lines[it.Version.Configuration];
    line.Next = &it;
    line.NextSummary = summarise(it.Version);
    line.Taken = true;
  }
  settle();
  retryEach();
}

/// Takes back candidates until what remains is closed.
void VersionPlan::settle() {
  for (auto found = conflicts(); !found.empty(); found = conflicts()) {
    for (auto &it : found) {
      if (!it.Waits->Taken)
        continue;
      it.Waits->Taken = false;
      it.Waits->Code = it.Code;
      it.Waits->Reason = std::move(it.Reason);
    }
  }
}

/// A candidate may have given way to one that was itself taken back later.
void VersionPlan::retryEach() {
  bool again = true;
  while (again) {
    again = false;
    for (auto &[name, line] : Lines) {
      if (!line.Next || line.Taken)
        continue;
      line.Taken = true;
      bool fits = conflicts().empty();
      line.Taken = fits;
      again = again || fits;
    }
  }
}

/// Returns the conflicts of the first kind that there are. A version that can
/// never be taken as things stand is found before those that give way to it.
std::vector<VersionPlan::Conflict> VersionPlan::conflicts() {
  auto found = missingServices(false);
  if (found.empty())
    found = missingServices(true);
  return found.empty() ? ambiguousRoutes() : found;
}

std::vector<VersionPlan::Conflict>
VersionPlan::missingServices(bool isRemoval) {
  std::vector<Conflict> out;
  for (auto &[name, line] : Lines) {
    for (const auto &[service, route] : line.current().UserOf) {
      auto owner = Lines.find(configurationOf(service));
      bool isKnown = owner != Lines.end();
      if (isKnown && has(owner->second.current(), service))
        continue;
      bool removed = isKnown && owner->second.Taken &&
                     has(owner->second.HeldSummary, service);
      if (removed != isRemoval)
        continue;
      Line *waits = removed ? &owner->second : &line;
      if (waits->Taken)
        out.push_back({waits, ResultCode::WaitingForReference,
                       describeUse(name, route, service, removed)});
    }
  }
  return out;
}

std::vector<VersionPlan::Conflict> VersionPlan::ambiguousRoutes() {
  std::vector<Conflict> out;
  std::unordered_map<std::string_view, Line *> seen;
  for (auto &[name, line] : Lines) {
    for (const auto &match : line.current().Matches) {
      auto [it, isNew] = seen.emplace(match, &line);
      Line *other = it->second;
      if (isNew || other == &line || (!line.Taken && !other->Taken))
        continue;
      // Where both are new, the one that was accepted later waits.
      bool isOurs =
          line.Taken && (!other->Taken || line.Next->At >= other->Next->At);
      Line *waits = isOurs ? &line : other;
      auto prefix = match.substr(0, match.find('\n'));
      out.push_back({waits, ResultCode::AmbiguousRoute,
                     "a route of another configuration matches the same "
                     "requests below " +
                         prefix});
    }
  }
  return out;
}

std::vector<config::ConfigurationVersion> VersionPlan::result() const {
  std::vector<config::ConfigurationVersion> out;
  for (const auto &[name, line] : Lines) {
    if (line.Taken)
      out.push_back(line.Next->Version);
    else if (line.Held)
      out.push_back(*line.Held);
  }
  return out;
}

std::vector<WaitingVersion> VersionPlan::waiting() const {
  std::vector<WaitingVersion> out;
  for (const auto &[name, line] : Lines)
    if (line.Next && !line.Taken)
      out.push_back({name, line.Next->Version.Version, line.Code, line.Reason});
  return out;
}

} // namespace radishcross::log
