#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Metrics.h>
#include <LibConfig/Snapshot.h>
#include <LibFleet/Member.h>
#include <LibTenants/Allotments.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace radishcross::node {

/// Connects the allotments of tenants with the node: its clock, its timer, the
/// fleet and the snapshot in force. \ref take uses the clock that counts
/// suspension in place of the time it is passed.
class NodeAllotments final : public tenants::AllotmentPort {
public:
  using Sender = std::function<void(tenants::AllotmentSend)>;

  /// \p firstSession increases from process to process.
  NodeAllotments(boost::asio::io_context &context, const base::Clock &elapsed,
                 fleet::NodeId self, const tenants::AllotmentSettings &settings,
                 uint64_t firstSession, Sender sender);

  tenants::AllotmentVerdict take(std::string_view tenant,
                                 base::TimePoint now) override;
  tenants::AllotmentVerdict retake(std::string_view tenant,
                                   base::TimePoint now) override;
  void leave(std::string_view tenant) override { Own.leave(tenant); }
  void giveBack(std::string_view tenant, base::TimePoint now) override;

  void snapshotChanged(const config::Snapshot &snapshot);
  void membersChanged(const std::vector<fleet::Member> &members);
  std::optional<tenants::AllotmentSend>
  receive(const fleet::NodeId &from, const tenants::AllotmentMessage &message);
  void tick();
  /// Returns {"tenant", "rate_per_second", "burst", "granted", "refused",
  /// "held", "keeper"} for each tenant with a limit.
  boost::json::array report() const;
  void setGauges(base::Metrics &metrics) const;

private:
  void sendSoon();
  void sendDue();
  void tellAnswered();
  void logKeepers();
  void logChanges(const std::vector<tenants::TenantLimit> &limits) const;

  boost::asio::io_context *Context;
  const base::Clock *Elapsed;
  tenants::Allotments Own;
  Sender Send;
  bool IsSendPosted = false;
  size_t LimitedTenants = 0;
  std::array<fleet::NodeId, tenants::AllotmentGroups> LoggedKeepers;
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

/// Returns the limits of the tenants of \p snapshot that have one.
std::vector<tenants::TenantLimit> limitsOf(const config::Snapshot &snapshot);

} // namespace radishcross::node
