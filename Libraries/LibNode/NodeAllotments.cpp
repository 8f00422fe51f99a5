#include <LibNode/NodeAllotments.h>

#include <LibBase/Logger.h>
#include <LibFleet/MemberTable.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace radishcross::node {

namespace {

/// Lines for the allotments that one version has changed.
constexpr size_t MaximumLoggedChanges = 16;

/// Returns whether a member will go on to serve. One whose targets are all
/// leaving may be about to leave too. Whether it has recovered is not asked:
/// nodes learn that at different times, and would go by different keepers
/// meanwhile.
bool mayKeep(const fleet::Member &member) {
  const auto isLeaving = [](const fleet::TargetRecord &it) {
    return it.State == fleet::TargetState::Draining ||
           it.State == fleet::TargetState::Left;
  };
  const auto &targets = member.Targets;
  return targets.empty() ||
         !std::all_of(targets.begin(), targets.end(), isLeaving);
}

} // namespace

std::vector<tenants::TenantLimit> limitsOf(const config::Snapshot &snapshot) {
  std::vector<tenants::TenantLimit> out;
  for (const auto &version : snapshot.versions())
    for (const auto &it : version.Content->Tenants)
      if (it.RatePerSecond > 0)
        out.push_back({it.Name, it.RatePerSecond, it.Burst});
  return out;
}

NodeAllotments::NodeAllotments(boost::asio::io_context &context,
                               const base::Clock &elapsed, fleet::NodeId self,
                               const tenants::AllotmentSettings &settings,
                               uint64_t firstSession, Sender sender)
    : Context(&context), Elapsed(&elapsed),
      Own(std::move(self), settings, firstSession), Send(std::move(sender)) {}

tenants::AllotmentVerdict NodeAllotments::take(std::string_view tenant,
                                               base::TimePoint) {
  auto verdict = Own.take(tenant, Elapsed->now());
  sendSoon();
  return verdict;
}

tenants::AllotmentVerdict NodeAllotments::retake(std::string_view tenant,
                                                 base::TimePoint) {
  auto verdict = Own.retake(tenant, Elapsed->now());
  sendSoon();
  return verdict;
}

/// Sends what is urgent once the handler that asks has returned.
void NodeAllotments::sendSoon() {
  if (!Own.isUrgent() || std::exchange(IsSendPosted, true))
    return;
  boost::asio::post(*Context,
                    [this, weak = std::weak_ptr<bool>(LifetimeToken)] {
                      if (weak.expired())
                        return;
                      IsSendPosted = false;
                      sendDue();
                    });
}

void NodeAllotments::giveBack(std::string_view tenant, base::TimePoint) {
  Own.giveBack(tenant, Elapsed->now());
}

void NodeAllotments::snapshotChanged(const config::Snapshot &snapshot) {
  auto limits = limitsOf(snapshot);
  if (limits.size() != std::exchange(LimitedTenants, limits.size()))
    base::log(base::LogLevel::Info, "allotments in force",
              {{"tenants", std::to_string(limits.size())}});
  logChanges(limits);
  Own.configure(limits, Elapsed->now());
}

/// Logs the tenants whose allotment another version has changed, the first of
/// many.
void NodeAllotments::logChanges(
    const std::vector<tenants::TenantLimit> &limits) const {
  std::map<std::string_view, tenants::TenantLimit> before;
  const auto reports = Own.holder().report(Elapsed->now());
  for (const auto &it : reports)
    before.emplace(it.Limit.Name, it.Limit);
  size_t logged = 0;
  for (const auto &it : limits) {
    const auto old = before.find(it.Name);
    const bool isSame =
        old == before.end() || (old->second.RatePerSecond == it.RatePerSecond &&
                                old->second.Burst == it.Burst);
    if (isSame || ++logged > MaximumLoggedChanges)
      continue;
    base::log(base::LogLevel::Info, "allotment changed",
              {{"tenant", it.Name},
               {"rate_per_second", std::to_string(it.RatePerSecond)},
               {"burst", std::to_string(it.Burst)},
               {"rate_before", std::to_string(old->second.RatePerSecond)},
               {"burst_before", std::to_string(old->second.Burst)}});
  }
}

void NodeAllotments::membersChanged(const std::vector<fleet::Member> &members) {
  std::vector<tenants::AllotmentMember> out;
  for (const auto &it : members)
    if (it.State != fleet::MemberState::Left)
      out.push_back({it.Identity.Id, isLive(it), mayKeep(it)});
  Own.setMembers(out, Elapsed->now());
}

std::optional<tenants::AllotmentSend>
NodeAllotments::receive(const fleet::NodeId &from,
                        const tenants::AllotmentMessage &message) {
  auto answer = Own.handle(from, message, Elapsed->now());
  tellAnswered();
  return answer;
}

/// Wakes the requests that wait for tokens.
void NodeAllotments::tellAnswered() {
  for (const auto &it : Own.takeAnswered())
    tellArrived(it);
}

void NodeAllotments::tick() {
  sendDue();
  logKeepers();
}

void NodeAllotments::sendDue() {
  for (auto &it : Own.poll(Elapsed->now()))
    Send(std::move(it));
  // What this node keeps itself was granted at once.
  tellAnswered();
}

void NodeAllotments::logKeepers() {
  for (uint32_t group = 0; group < tenants::AllotmentGroups; ++group) {
    const auto &keeper = Own.holder().keeper(group);
    if (keeper == LoggedKeepers[group])
      continue;
    base::log(base::LogLevel::Info, "allotment keeper chosen",
              {{"group", std::to_string(group)},
               {"keeper", keeper},
               {"before", LoggedKeepers[group]}});
    LoggedKeepers[group] = keeper;
  }
}

boost::json::array NodeAllotments::report() const {
  boost::json::array out;
  for (const auto &it : Own.holder().report(Elapsed->now()))
    out.push_back(
        boost::json::object{{"tenant", it.Limit.Name},
                            {"rate_per_second", it.Limit.RatePerSecond},
                            {"burst", it.Limit.Burst},
                            {"granted", it.Granted},
                            {"refused", it.Refused},
                            {"held", it.Stock},
                            {"keeper", it.Keeper}});
  return out;
}

void NodeAllotments::setGauges(base::Metrics &metrics) const {
  const auto &counts = Own.holder().counts();
  const auto set = [&](std::string_view name, uint64_t value) {
    metrics.setGauge(name, static_cast<double>(value));
  };
  set("allotment_tenants", LimitedTenants);
  set("allotment_granted", counts.Granted);
  set("allotment_refused", counts.Refused);
  set("allotment_asks", counts.Asks);
  set("allotment_keeper_changes", counts.KeeperChanges);
  for (uint32_t group = 0; group < tenants::AllotmentGroups; ++group)
    metrics.setGauge("allotment_share{group=\"" + std::to_string(group) + "\"}",
                     Own.keeper().share(group));
}

} // namespace radishcross::node
