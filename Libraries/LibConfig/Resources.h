#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <cstdint>
#include <optional>
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
  std::string HealthPath = {};     ///< Empty: not checked.
  uint32_t MaximumConnections = 0; ///< To one target; 0: what it announces.
};

/// Which requests a route takes.
struct RouteMatch {
  std::vector<std::string> Methods; ///< Empty: every method.
  std::string Host;                 ///< Empty: every host.
  /// Matches whole path segments. One that ends with a slash takes only paths
  /// that go on below it.
  std::string PathPrefix = "/";
};

/// One part of a route's requests.
struct WeightedService {
  std::string Service; ///< "name" or "configuration/name".
  uint32_t Weight = 1; ///< In proportion to the other shares of the route.
};

/// Sends matching requests to a service. The longest path prefix wins, then a
/// route with a host, then one with methods.
struct Route {
  std::string Name; ///< Unique within the configuration.
  RouteMatch Match;
  std::string Service; ///< "name" or "configuration/name".
  /// Where it is not empty, requests are parted among these services instead.
  std::vector<WeightedService> Split = {};
  Rank CallRank = Rank::Background;
  base::Duration Deadline = std::chrono::seconds(5);
  bool Idempotent = false; ///< May be retried after it was sent.
  /// An answer within this time has its full worth; 0: the deadline.
  base::Duration LatencyObjective{};
  uint32_t MaximumAttempts = 3; ///< Targets that one request may be sent to.
};

/// What clients may send, and for how long a connection may be slow or idle.
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
};

} // namespace radishcross::config
