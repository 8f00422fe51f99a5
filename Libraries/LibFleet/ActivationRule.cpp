#include <LibFleet/ActivationRule.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace radishcross::fleet {

void ActivationRule::received(log::Offset held, base::TimePoint now) {
  if (!Arrivals.empty() && Arrivals.back().Upto >= held)
    return;
  if (held > Allowed)
    Arrivals.push_back({held, now});
}

log::Offset ActivationRule::allowed(const MemberTable &table,
                                    base::TimePoint now) {
  if (Arrivals.empty())
    return Allowed;
  log::Offset inForceElsewhere = 0;
  std::vector<log::Offset> heldBy;
  for (const auto &it : table.all()) {
    const auto &identity = it.Identity;
    if (!isLive(it) || identity.DataCentre != DataCentre || identity.Id == Self)
      continue;
    inForceElsewhere = std::max(inForceElsewhere, it.ConfigOffset);
    heldBy.push_back(it.HeldOffset);
  }
  size_t needed = std::min<size_t>(Settings.Holders, heldBy.size());
  log::Offset replicated = Arrivals.back().Upto;
  if (needed > 0) {
    std::nth_element(heldBy.begin(), heldBy.begin() + (needed - 1),
                     heldBy.end(), std::greater<>());
    replicated = std::max(heldBy[needed - 1], inForceElsewhere);
  }
  Allowed = std::max(Allowed, std::min(replicated, Arrivals.back().Upto));
  while (!Arrivals.empty() && Arrivals.front().Upto <= Allowed)
    Arrivals.pop_front();
  while (!Arrivals.empty() &&
         now >= Arrivals.front().At + Settings.HoldersTimeout) {
    Allowed = Arrivals.front().Upto;
    Arrivals.pop_front();
    ++ActivatedByTimeout;
  }
  return Allowed;
}

} // namespace radishcross::fleet
