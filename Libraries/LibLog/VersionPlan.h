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
  config::ConfigurationVersion Version;
  Offset At = 0; ///< Where the version was accepted.
};

/// Chooses which of several versions one proxy can take in one step, so that
/// what it then holds is closed under references. Versions are taken whole. A
/// version that adds a route waits for the service; one that removes a service
/// waits for the routes that still use it; others go ahead.
class VersionPlan {
public:
  /// Both lists must outlive the plan.
  VersionPlan(const std::vector<config::ConfigurationVersion> &held,
              const std::vector<Candidate> &candidates);
  VersionPlan(const std::vector<config::ConfigurationVersion> &held,
              std::vector<Candidate> &&candidates) = delete;

  /// Returns what is held after the step.
  std::vector<config::ConfigurationVersion> result() const;

  /// Returns the candidates that were not taken, and why.
  std::vector<WaitingVersion> waiting() const;

private:
  /// What the check needs of one version.
  struct Summary {
    std::vector<std::string> Services;         ///< "configuration/name".
    std::map<std::string, std::string> UserOf; ///< Service to a route using it.
    std::vector<std::string> Matches; ///< What no two routes may share.
  };

  /// One configuration: what is held, and what may be.
  struct Line {
    const config::ConfigurationVersion *Held = nullptr;
    const Candidate *Next = nullptr;
    Summary HeldSummary;
    Summary NextSummary;
    bool Taken = false;
    base::ResultCode Code = base::ResultCode::Ok;
    std::string Reason;

    const Summary &current() const { return Taken ? NextSummary : HeldSummary; }
  };

  /// Why a line cannot be taken now.
  struct Conflict {
    Line *Waits = nullptr;
    base::ResultCode Code = base::ResultCode::Ok;
    std::string Reason;
  };

  static Summary summarise(const config::ConfigurationVersion &version);
  static bool has(const Summary &summary, std::string_view service);
  void settle();
  void retryEach();
  std::vector<Conflict> conflicts();
  std::vector<Conflict> missingServices(bool isRemoval);
  std::vector<Conflict> ambiguousRoutes();

  std::map<std::string, Line, std::less<>> Lines;
};

} // namespace radishcross::log
