#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/Fold.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::fleet {

/// When beacons are written.
struct BeaconSettings {
  uint32_t WritersPerDataCentre = 2;
  std::chrono::seconds Lifetime{1800};
  /// A beacon is renewed once less than this is left of its lifetime.
  std::chrono::seconds RenewBefore{600};
  /// The least time between two appends of one node.
  base::Duration Spacing = std::chrono::seconds(60);
};

/// Decides when this node appends a beacon to the log, so that a newcomer finds
/// a live peer there when every seed is gone. Only a few nodes of each data
/// centre write, and their beacons live long, so the number of appends follows
/// the data centres and not the nodes.
class BeaconPlan {
public:
  using Beacons = std::map<std::string, log::BeaconEntry, std::less<>>;

  BeaconPlan(NodeId self, std::string dataCentre, BeaconSettings settings,
             uint64_t seed)
      : Self(std::move(self)), DataCentre(std::move(dataCentre)),
        Settings(settings), Dice(seed) {}

  /// Tells whether to append now. To be asked by nodes that serve, which know
  /// the log's beacons; \p unixSeconds is the wall time.
  bool isDue(const MemberTable &table, const Beacons &beacons,
             int64_t unixSeconds, base::TimePoint now);

  /// Returns when a beacon that is appended at \p unixSeconds ends.
  int64_t expiryFrom(int64_t unixSeconds) const {
    return unixSeconds + Settings.Lifetime.count();
  }

private:
  NodeId Self;
  std::string DataCentre;
  BeaconSettings Settings;
  base::Random Dice;
  base::TimePoint NextAppend{};
};

/// Returns the gossip addresses of beacons that still live, other than that of
/// \p self.
std::vector<base::Address> liveBeacons(const BeaconPlan::Beacons &beacons,
                                       std::string_view self,
                                       int64_t unixSeconds);

} // namespace radishcross::fleet
