#include <LibFleet/BeaconPlan.h>
#include <LibFleet/Spreader.h>

namespace radishcross::fleet {

bool BeaconPlan::isDue(const MemberTable &table, const Beacons &beacons,
                       int64_t unixSeconds, base::TimePoint now) {
  if (now < NextAppend || !Spreader::isTailer(table, DataCentre, Self,
                                              Settings.WritersPerDataCentre))
    return false;
  auto own = beacons.find(Self);
  if (own != beacons.end() && own->second.ExpiresAtUnixSeconds - unixSeconds >
                                  Settings.RenewBefore.count())
    return false;
  // The append's answer may be lost; the jitter keeps data centres apart.
  NextAppend = now + Settings.Spacing +
               base::Duration(Dice.below(Settings.Spacing.count()));
  return true;
}

std::vector<base::Address> liveBeacons(const BeaconPlan::Beacons &beacons,
                                       std::string_view self,
                                       int64_t unixSeconds) {
  std::vector<base::Address> live;
  base::LastReason reason;
  for (const auto &[id, it] : beacons) {
    if (it.NodeId == self || it.ExpiresAtUnixSeconds <= unixSeconds)
      continue;
    if (auto address = base::parseAddress(it.GossipAddress, reason))
      live.push_back(*address);
  }
  return live;
}

} // namespace radishcross::fleet
