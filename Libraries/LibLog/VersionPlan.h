#pragma once

#include <LibConfig/Snapshot.h>
#include <LibLog/HeldVersions.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishcross::log {

/// A version that a proxy may upgrade to.
struct Candidate {
  config::ConfigurationVersion Version;
  Offset At = 0; ///< Offset at which the version was accepted.
};

/// Selects which of several candidate versions one proxy can take in one step
/// so that every reference in the resulting set resolves. Versions are taken
/// whole. A version that adds a route waits for the service of that route; one
/// that removes a service waits until no route uses it; all others are not
/// delayed.
class VersionPlan {
public:
  /// Both lists must outlive the plan.
  VersionPlan(const std::vector<config::ConfigurationVersion> &held,
              const std::vector<Candidate> &candidates);
  VersionPlan(const std::vector<config::ConfigurationVersion> &held,
              std::vector<Candidate> &&candidates) = delete;

  /// Returns the versions that are held after the step.
  std::vector<config::ConfigurationVersion> result() const;

  /// Returns the candidates that were not taken, with the reason.
  std::vector<WaitingVersion> waiting() const;

private:
  /// The services and routes of one version that the checks need.
  struct Summary {
    std::vector<std::string> Services; ///< "configuration/name".
    std::map<std::string, std::string> RouteByService; ///< A user of each.
    std::vector<std::string> MatchKeys; ///< Each may occur in one route only.
  };

  /// One configuration with its held version and its candidate.
  struct Entry {
    const config::ConfigurationVersion *Held = nullptr;
    const Candidate *Next = nullptr;
    Summary HeldSummary;
    Summary NextSummary;
    bool IsSelected = false;
    base::ResultCode Code = base::ResultCode::Ok;
    std::string Reason;

    const Summary &current() const {
      return IsSelected ? NextSummary : HeldSummary;
    }
  };

  /// The reason why a candidate cannot be taken now.
  struct Conflict {
    Entry *Waiting = nullptr;
    base::ResultCode Code = base::ResultCode::Ok;
    std::string Reason;
  };

  static Summary summarise(const config::ConfigurationVersion &version);
  static bool hasService(const Summary &summary, std::string_view service);
  void deferConflicting();
  void retryDeferred();
  std::vector<Conflict> conflicts();
  std::vector<Conflict> missingServices(bool isRemoval);
  std::vector<Conflict> ambiguousRoutes();

  std::map<std::string, Entry, std::less<>> Entries;
};

} // namespace radishcross::log
