#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::config {

/// Limits of one service; each of its targets has the same.
struct ServiceLimits {
  uint32_t QueueLength = 64; ///< Calls that may queue at one target.
  /// Share of slots reserved for standard calls.
  uint32_t StandardFloorPercent = 10;
  /// Share of slots reserved for background calls.
  uint32_t BackgroundFloorPercent = 5;
  uint32_t RetryBudgetPercent = 10; ///< Retries for each 100 calls.
};

/// A service that routes can refer to. Its targets register themselves.
struct Service {
  std::string Name; ///< Unique within the configuration.
  ServiceLimits Limits;
  std::string HealthPath = {};     ///< Empty: no health checks.
  uint32_t MaximumConnections = 0; ///< Per target; 0: as the target announces.
};

/// The requests that a route matches.
struct RouteMatch {
  std::vector<std::string> Methods; ///< Empty: every method.
  std::string Host;                 ///< Empty: every host.
  /// Matches whole path segments. A prefix with a trailing slash matches only
  /// paths below it, not the path itself.
  std::string PathPrefix = "/";
};

/// A service that receives a weighted share of a route's requests.
struct WeightedService {
  std::string Service; ///< "name" or "configuration/name".
  uint32_t Weight = 1; ///< Relative to the other weights of the route.
};

/// Sends matching requests to a service. The longest path prefix wins, then a
/// route with a host, then one with methods.
struct Route {
  std::string Name; ///< Unique within the configuration.
  RouteMatch Match;
  std::string Service; ///< "name" or "configuration/name".
  /// If not empty, requests are split among these services instead.
  std::vector<WeightedService> Split = {};
  Rank CallRank = Rank::Background;
  base::Duration Deadline = std::chrono::seconds(5);
  bool Idempotent = false; ///< May be retried after a request was sent.
  /// Responses within this time count as fully useful; 0: the deadline is used.
  base::Duration LatencyObjective{};
  uint32_t MaximumAttempts = 3; ///< Targets that one request may be tried on.
  bool IsPublic = false;        ///< Needs no key, also where there are tenants.
};

/// A customer of the mesh. Where a configuration has tenants, the requests on
/// routes that are not public carry the key of one.
struct Tenant {
  std::string Name; ///< Unique among all configurations.
  /// SHA-256 of each key, 64 lower-case hexadecimal digits.
  std::vector<std::string> KeyHashes;
  std::optional<Rank> CallRank = {}; ///< Goes before the rank of the route.
  /// Allotment over all nodes together: requests a second, and beyond that in a
  /// burst. 0 requests a second: no limit.
  uint32_t RatePerSecond = 0;
  uint32_t Burst = 0;
};

/// Limits on the size of client requests, and on how long a client connection
/// may take to send its headers or stay idle.
struct ClientLimits {
  uint64_t HeaderBytes = 16UL << 10;
  uint64_t BodyBytes = 1UL << 20;
  base::Duration HeaderTimeout = std::chrono::seconds(10);
  base::Duration IdleTimeout = std::chrono::seconds(75);

  bool operator==(const ClientLimits &) const = default;
};

/// The content of one version of a configuration.
struct VersionContent {
  std::vector<Service> Services;
  std::vector<Route> Routes;
  std::optional<ClientLimits> Limits = {};
  std::vector<Tenant> Tenants = {};
};

} // namespace radishcross::config
