#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Rank.h>
#include <LibConfig/Snapshot.h>

#include <array>
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::config {

/// What is in use of one service now.
struct ServiceUsage {
  uint32_t Targets = 0;      ///< Targets that take work.
  uint32_t QueueLength = 0;  ///< The most calls waiting at one target.
  uint32_t RetryPercent = 0; ///< Retries for each 100 calls.
};

/// What a node, or several together, serve now.
struct Usage {
  std::map<std::string, double, std::less<>>
      CallsPerSecond; ///< By "configuration/route".
  std::map<std::string, ServiceUsage, std::less<>>
      Services; ///< By "configuration/name"; empty where it is not known.

  /// Adds what another node serves: calls and targets add up, the largest of
  /// what is in use of a limit counts.
  void add(const Usage &other);
};

/// Reads {"routes": [{"route", "calls_per_second"}], "services": [{"service",
/// "targets", "queue_length", "retry_percent"}]}. Other keys are passed over;
/// a number that is missing counts as 0. Fails with WrongType.
std::optional<Usage> decodeUsage(const boost::json::value &document,
                                 base::LastReason &reason);

/// A route with calls whose requests the candidate answers differently.
struct AffectedRoute {
  std::string Name; ///< "configuration/route".
  Rank CallRank = Rank::Background;
  double CallsPerSecond = 0;
};

/// A limit that the candidate sets below what is in use.
struct TightenedLimit {
  std::string Service; ///< "configuration/name".
  std::string Limit;   ///< The key in a version's document.
  uint32_t InUse = 0;
  uint32_t Proposed = 0;
};

/// What a candidate would do to the traffic of now.
struct Impact {
  std::vector<AffectedRoute> LostRoutes; ///< No route would take the requests.
  std::array<double, RankCount> LostCallsPerSecond{}; ///< By rank.
  std::vector<AffectedRoute> DemotedRoutes; ///< A less urgent route would.
  std::vector<std::string> WithoutTargets;  ///< Services called now that would
                                            ///< be served by none.
  std::vector<TightenedLimit> TightenedLimits;

  /// Tells whether the change may go ahead without anyone's consent.
  bool isHarmless() const;
};

/// Compares \p candidate with \p current under \p usage. Every route's requests
/// are looked up in the candidate by the route's own prefix, host and methods.
Impact compareImpact(const Snapshot &current, const Snapshot &candidate,
                     const Usage &usage);

/// Returns the services that have no target left when \p targets of each are
/// taken away, for instance by draining a VM.
std::vector<std::string>
servicesLosingLastTarget(const Usage &usage,
                         const std::map<std::string, uint32_t> &targets);

/// Returns \p impact as JSON for the administration API.
boost::json::value encodeImpact(const Impact &impact);

} // namespace radishcross::config
