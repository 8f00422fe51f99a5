#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <string>

namespace radishcross::tenants {

/// The allotment of one tenant, over all nodes together.
struct TenantLimit {
  std::string Name;
  uint32_t RatePerSecond = 0; ///< At least 1.
  uint32_t Burst = 0;         ///< Requests beyond the rate.
};

/// In no Window run more requests of a tenant than
/// (rate * Window + burst) * (1 + Overshoot) + Slack.
struct AllotmentSettings {
  base::Duration Window = std::chrono::seconds(5);
  double Overshoot = 0.1; ///< Share, 0 to 1.
  uint32_t Slack = 20;    ///< Requests.

  /// A share that was lent, and a token that was granted, lapse after this.
  base::Duration Lease = std::chrono::milliseconds(1500);
  /// How often a node renews what it lends and holds.
  base::Duration Renewal = std::chrono::milliseconds(600);
  /// The same for a node that only holds tokens.
  base::Duration HolderRenewal = std::chrono::milliseconds(1000);
  /// The most nodes that own a share of a group's allotments.
  uint32_t Owners = 16;
  /// An ask without an answer is followed by another after this, and by further
  /// ones after twice the time each, up to the longest.
  base::Duration AskTimeout = std::chrono::milliseconds(100);
  base::Duration LongestAskTimeout = std::chrono::milliseconds(400);
  /// The least time between two asks of one group.
  base::Duration AskSpacing = std::chrono::milliseconds(20);
  /// The least time between two asks for a tenant of which the keeper granted
  /// less than was wanted, and the same for each node that asks the keeper.
  base::Duration ScarceSpacing = std::chrono::milliseconds(60);
  base::Duration ScarceSpacingEach = std::chrono::milliseconds(10);
  /// A node holds tokens ahead for the demand of this time.
  base::Duration StockTime = std::chrono::milliseconds(500);
  /// Tokens held ahead for each request of that demand.
  double StockFactor = 1.5;
  /// Where a tenant is new at a node, its demand there is taken for this share
  /// of its rate at most.
  double FirstDemandShare = 0.25;
  /// A node holds a token of a tenant for this long after its last request.
  base::Duration WarmTime = std::chrono::seconds(8);
  /// A keeper that answers nothing for this long is doubted.
  base::Duration SilenceBound = std::chrono::milliseconds(1200);
  /// A keeper that is doubted isn't asked for this long.
  base::Duration DoubtTime = std::chrono::seconds(3);
  /// Nodes not seen for this long own no share any more.
  base::Duration MemberMemory = std::chrono::seconds(120);
  /// After its first view of the members a node waits this long before it
  /// lends its share, since the view may be partial.
  base::Duration JoinTime = std::chrono::milliseconds(1500);

  bool operator==(const AllotmentSettings &) const = default;
};

/// What the allowed excess is used for; the parts add up to less than 1.
constexpr double RateExcessShare = 0.5;  ///< Of Overshoot: makes up for shares
                                         ///< of nodes that are gone.
constexpr double StockExcessShare = 0.9; ///< Of the rest: tokens held ahead.

/// The rate at which the shares of all nodes together accrue, a second.
inline double accrualRate(const TenantLimit &limit,
                          const AllotmentSettings &settings) {
  return limit.RatePerSecond * (1 + settings.Overshoot * RateExcessShare);
}

/// The most tokens that may be unused in the whole fleet at any time: with it,
/// and with accrualRate(), the bound holds in every window.
inline double unusedBound(const TenantLimit &limit,
                          const AllotmentSettings &settings) {
  double window = std::chrono::duration<double>(settings.Window).count();
  double excess =
      settings.Overshoot *
          (limit.Burst + limit.RatePerSecond * window * (1 - RateExcessShare)) +
      settings.Slack;
  return limit.Burst + StockExcessShare * excess;
}

/// Tenants are spread over this many groups, each with a keeper of its own as
/// far as there are nodes.
constexpr uint32_t AllotmentGroups = 32;

} // namespace radishcross::tenants
