#include <LibAdmission/TenantShares.h>

namespace radishcross::admission {

void TenantShares::entered(Ticket call, std::string_view tenant,
                           config::Rank rank, bool isWaiting) {
  const Key key{rank, std::string(tenant)};
  auto &calls = ByTenant[key];
  ++calls.All;
  if (isWaiting)
    calls.Waiting.insert(call);
  Entered.emplace(call, key);
}

void TenantShares::started(Ticket call) {
  const auto it = Entered.find(call);
  if (it != Entered.end())
    ByTenant[it->second].Waiting.erase(call);
}

void TenantShares::left(Ticket call) {
  const auto it = Entered.find(call);
  if (it == Entered.end())
    return;
  const auto calls = ByTenant.find(it->second);
  calls->second.Waiting.erase(call);
  if (--calls->second.All == 0)
    ByTenant.erase(calls);
  Entered.erase(it);
}

std::optional<Ticket> TenantShares::displacedBy(std::string_view tenant,
                                                config::Rank rank) const {
  uint32_t own = 0;
  const Calls *most = nullptr;
  for (const auto &[key, it] : ByTenant) {
    if (key.first != rank)
      continue;
    if (key.second == tenant)
      own = it.All;
    else if (!it.Waiting.empty() && (!most || it.All > most->All))
      most = &it;
  }
  if (!most || most->All < own + 2)
    return std::nullopt;
  return *most->Waiting.rbegin();
}

} // namespace radishcross::admission
