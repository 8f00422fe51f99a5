#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <cstdint>
#include <string>
#include <vector>

namespace radishcross::config {

/// Limits of one service, the same at each of its targets.
struct ServiceLimits {
  uint32_t QueueLength = 64;           ///< Calls that may wait at one target.
  uint32_t StandardFloorPercent = 10;  ///< Share of slots kept for the rank.
  uint32_t BackgroundFloorPercent = 5; ///< Share of slots kept for the rank.
  uint32_t RetryBudgetPercent = 10;    ///< Retries for each 100 calls.
};

/// A service that routes can point at. Its targets announce themselves.
struct Service {
  std::string Name; ///< Unique within the configuration.
  ServiceLimits Limits;
};

/// Which requests a route takes.
struct RouteMatch {
  std::vector<std::string> Methods; ///< Empty: every method.
  std::string Host;                 ///< Empty: every host.
  std::string PathPrefix = "/";     ///< Matches whole path segments.
};

/// Sends matching requests to a service. The longest path prefix wins, then a
/// route with a host, then one with methods.
struct Route {
  std::string Name; ///< Unique within the configuration.
  RouteMatch Match;
  std::string Service; ///< "name" or "configuration/name".
  Rank CallRank = Rank::Background;
  base::Duration Deadline = std::chrono::seconds(5);
  bool Idempotent = false; ///< May be retried after it was sent.
};

/// The content of one version of a configuration.
struct VersionContent {
  std::vector<Service> Services;
  std::vector<Route> Routes;
};

} // namespace radishcross::config
