#include <LibTenants/Allotments.h>

#include <utility>

namespace radishcross::tenants {

void Allotments::configure(const std::vector<TenantLimit> &limits,
                           base::TimePoint now) {
  Holder.configure(limits);
  Keeper.configure(limits, now);
}

std::vector<AllotmentSend> Allotments::poll(base::TimePoint now) {
  Keeper.expire(now);
  std::vector<AllotmentSend> out;
  for (auto &it : Holder.poll(now)) {
    if (it.To == Self)
      Holder.handle(Self, Keeper.handle(Self, it.Message, now), now);
    else
      out.push_back(std::move(it));
  }
  return out;
}

std::optional<AllotmentSend> Allotments::handle(std::string_view from,
                                                const AllotmentMessage &message,
                                                base::TimePoint now) {
  if (message.IsAnswer) {
    Holder.handle(from, message, now);
    return std::nullopt;
  }
  auto answer = Keeper.handle(from, message, now);
  if (answer.Sequence == 0)
    return std::nullopt;
  return AllotmentSend{fleet::NodeId(from), std::move(answer)};
}

} // namespace radishcross::tenants
