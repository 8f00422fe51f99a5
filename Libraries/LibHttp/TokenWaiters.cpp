#include <LibHttp/TokenWaiters.h>

namespace radishcross::http {

TokenWaiters::Entry::Entry(TokenWaiters &all, const std::string &tenant,
                           boost::asio::steady_timer &wake)
    : All(all), Tenant(all.Waiting.try_emplace(tenant).first),
      Own(Tenant->second.insert(Tenant->second.end(), &wake)) {}

TokenWaiters::Entry::~Entry() {
  Tenant->second.erase(Own);
  if (Tenant->second.empty())
    All.Waiting.erase(Tenant);
}

void TokenWaiters::tokensArrived(std::string_view tenant) {
  const auto it = Waiting.find(tenant);
  if (it == Waiting.end())
    return;
  // The entries are removed by their requests, which run later.
  for (auto *wake : it->second)
    wake->cancel();
}

} // namespace radishcross::http
