#pragma once

#include <LibTenants/AllotmentHolder.h>
#include <LibTenants/AllotmentKeeper.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::tenants {

/// The allotments at one node: the tokens it holds, and its part as a keeper.
/// All times are of a clock that counts suspension.
class Allotments final : public AllotmentPort {
public:
  Allotments(fleet::NodeId self, AllotmentSettings settings,
             uint64_t firstSession)
      : Self(std::move(self)), Holder(Self, settings, firstSession),
        Keeper(settings) {}

  /// Replaces the limits; a tenant that is not listed is not limited.
  void configure(const std::vector<TenantLimit> &limits, base::TimePoint now);
  void setMembers(const std::vector<AllotmentMember> &members,
                  base::TimePoint now) {
    Holder.setMembers(members, now);
  }

  AllotmentVerdict take(std::string_view tenant, base::TimePoint now) override {
    return Holder.take(tenant, now);
  }
  AllotmentVerdict retake(std::string_view tenant,
                          base::TimePoint now) override {
    return Holder.retake(tenant, now);
  }
  void leave(std::string_view tenant) override { Holder.leave(tenant); }
  void giveBack(std::string_view tenant, base::TimePoint) override {
    Holder.giveBack(tenant);
  }

  /// Returns the messages that are due to other nodes.
  std::vector<AllotmentSend> poll(base::TimePoint now);

  /// Accepts a message of another node and returns the answer, if any.
  std::optional<AllotmentSend> handle(std::string_view from,
                                      const AllotmentMessage &message,
                                      base::TimePoint now);

  /// See AllotmentHolder::takeAnswered.
  std::vector<std::string> takeAnswered() { return Holder.takeAnswered(); }

  bool isUrgent() const { return Holder.isUrgent(); }
  const AllotmentHolder &holder() const { return Holder; }
  const AllotmentKeeper &keeper() const { return Keeper; }

private:
  fleet::NodeId Self;
  AllotmentHolder Holder;
  AllotmentKeeper Keeper;
};

} // namespace radishcross::tenants
