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

/// The current load on one service.
struct ServiceUsage {
  uint32_t Targets = 0;      ///< Targets that accept calls.
  uint32_t QueueLength = 0;  ///< The longest queue at any one target.
  uint32_t RetryPercent = 0; ///< Retries for each 100 calls.
};

/// The current traffic of one node, or of several added up.
struct Usage {
  std::map<std::string, double, std::less<>>
      CallsPerSecond; ///< By "configuration/route".
  std::map<std::string, ServiceUsage, std::less<>>
      Services; ///< By "configuration/name"; empty if unknown.

  /// Adds another node's usage: calls and targets are summed; of queue lengths
  /// and retry percentages the maximum is kept.
  void add(const Usage &other);
};

/// Reads {"routes": [{"route", "calls_per_second"}], "services": [{"service",
/// "targets", "queue_length", "retry_percent"}]}. Other keys are ignored; a
/// missing or invalid number counts as 0. Fails with WrongType when the
/// document is no object or either key is no list.
std::optional<Usage> decodeUsage(const boost::json::value &document,
                                 base::LastReason &reason);

/// A route in use whose requests the candidate would handle differently.
struct AffectedRoute {
  std::string Name; ///< "configuration/route".
  Rank CallRank = Rank::Background;
  double CallsPerSecond = 0;
};

/// A limit that the candidate lowers below its current usage.
struct TightenedLimit {
  std::string Service; ///< "configuration/name".
  std::string Limit;   ///< Key in a version's document.
  uint32_t InUse = 0;
  uint32_t Proposed = 0;
};

/// The effect that a candidate would have on the current traffic.
struct Impact {
  std::vector<AffectedRoute> LostRoutes;              ///< No route would match.
  std::array<double, RankCount> LostCallsPerSecond{}; ///< By rank.
  std::vector<AffectedRoute> DemotedRoutes;           ///< A less urgent route
                                                      ///< would match.
  std::vector<std::string> WithoutTargets; ///< Services that would get calls
                                           ///< but have no targets.
  std::vector<TightenedLimit> TightenedLimits;

  /// Returns true if nothing is affected, so that the change needs no explicit
  /// acceptance.
  bool isHarmless() const;
};

/// Compares \p candidate with \p current under \p usage. Each route in use is
/// looked up in the candidate by its own prefix, host and methods.
Impact compareImpact(const Snapshot &current, const Snapshot &candidate,
                     const Usage &usage);

/// Returns the services that would have no target left if \p targets of each
/// (a count by "configuration/name") were removed, for instance by draining a
/// VM.
std::vector<std::string>
servicesLosingLastTarget(const Usage &usage,
                         const std::map<std::string, uint32_t> &targets);

/// Returns \p impact as JSON for the administration API.
boost::json::value encodeImpact(const Impact &impact);

} // namespace radishcross::config
