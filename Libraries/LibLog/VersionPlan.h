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

/// A version that a proxy may step up to.
struct Candidate {
  config::HeldVersion Version;
  Offset At = 0; ///< Where the version was accepted.
};

/// Chooses which of several versions one proxy can take in one step, so that
/// what it then holds is closed under references. Versions are taken whole. A
/// version that adds a route waits for the service; one that removes a service
/// waits for the routes that still use it; others go ahead.
class VersionPlan {
public:
  /// Both lists must outlive the plan.
  VersionPlan(const std::vector<config::HeldVersion> &held,
              const std::vector<Candidate> &candidates);
  VersionPlan(const std::vector<config::HeldVersion> &held,
              std::vector<Candidate> &&candidates) = delete;

  /// Returns what is held after the step.
  std::vector<config::HeldVersion> result() const;

  /// Returns the candidates that were not taken, and why.
  std::vector<WaitingVersion> waiting() const;

private:
  /// What the check needs of one version.
  struct Summary {
    std::vector<std::string> Services; ///< "configuration/name".
    std::map<std::string, std::string>
        RouteByService;                 ///< Service to a route using it.
    std::vector<std::string> MatchKeys; ///< What no two routes may share.
  };

  /// One configuration: what is held, and what may be.
  struct Entry {
    const config::HeldVersion *Held = nullptr;
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

  /// Why a line cannot be taken now.
  struct Conflict {
    Entry *Waiting = nullptr;
    base::ResultCode Code = base::ResultCode::Ok;
    std::string Reason;
  };

  static Summary summarise(const config::HeldVersion &version);
  static bool hasService(const Summary &summary, std::string_view service);
  void deferConflicting();
  void retryDeferred();
  std::vector<Conflict> conflicts();
  std::vector<Conflict> missingServices(bool isRemoval);
  std::vector<Conflict> ambiguousRoutes();

  std::map<std::string, Entry, std::less<>> Entries;
};

} // namespace radishcross::log
