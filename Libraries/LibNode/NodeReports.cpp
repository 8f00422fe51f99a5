#include <LibNode/NodeProcess.h>

#include <LibTenants/TenantDirectory.h>
#include <LibTrace/TraceText.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <utility>

// The part of NodeProcess that reports its state to operators.

namespace radishcross::node {

std::vector<admin::HoldingSince> NodeProcess::holdingSince() const {
  std::vector<admin::HoldingSince> out;
  out.reserve(HeldSince.size());
  for (const auto &[name, since] : HeldSince)
    out.push_back(since);
  return out;
}

std::vector<fleet::Member> NodeProcess::members() const {
  return Fleet->members();
}

boost::json::value NodeProcess::usage() const {
  auto out = Usage.usage(Time.now());
  out.as_object()["services"] = servicesInUse();
  return out;
}

/// Returns how many ready targets each service in force has.
/// FIXME: The longest queue and the share of retries in use are not measured
/// yet, so an impact report does not warn of limits that are tightened below
/// them.
boost::json::array NodeProcess::servicesInUse() const {
  std::map<std::string, uint64_t> targets;
  for (const auto &member : Fleet->members()) {
    if (!fleet::isLive(member))
      continue;
    for (const auto &it : member.Targets)
      if (it.State == fleet::TargetState::Ready)
        ++targets[it.Service];
  }
  boost::json::array out;
  if (!ActiveSnapshot)
    return {};
  for (const auto &held : ActiveSnapshot->versions())
    for (const auto &service : held.Content->Services) {
      std::string name = held.Configuration;
      name += '/';
      name += service.Name;
      out.push_back(boost::json::object{{"service", name},
                                        {"targets", targets[name]},
                                        {"queue_length", 0},
                                        {"retry_percent", 0}});
    }
  return out;
}

/// The order of refusals is that of LibHttp/CallEngine.
boost::json::value
NodeProcess::route(const admin::RouteQuestion &question) const {
  const auto snapshot = ActiveSnapshot;
  tenants::TenantDirectory directory;
  directory.update(snapshot);
  const auto *asker = directory.find(question.Tenant);
  calls::CallRequest request;
  request.Method = question.Method;
  request.Host = question.Host;
  request.Path = question.Path;
  request.CallerService = question.CallerService;
  request.Remaining = question.Remaining;
  if (question.CallRank)
    request.ParentRank = *question.CallRank;
  boost::json::object tenant;
  if (asker) {
    request.Tenant = asker->Name;
    request.TenantRank = asker->CallRank;
    tenant["name"] = asker->Name;
    tenant["rank"] = asker->CallRank
                         ? base::nameOf(config::RankNames, *asker->CallRank)
                         : std::string_view();
    for (const auto &it : Shares.report())
      if (it.at("tenant") == boost::json::value(asker->Name))
        tenant["allotment"] = it;
  }
  auto preview = CallsBroker.preview(request, snapshot, Time.now());
  const bool needsKey = directory.hasTenants() && preview.Matched &&
                        !preview.Matched->IsPublic && !asker;
  if (needsKey || Draining.isStarted()) {
    preview.Step = {};
    preview.Step.Code =
        needsKey ? base::ResultCode::KeyUnknown : base::ResultCode::Draining;
    preview.Step.Stop = calls::StopReason::Final;
  }
  auto out = admin::routeReport(question, preview, snapshot.get(),
                                asker ? boost::json::value(std::move(tenant))
                                      : boost::json::value());
  out["node"] = Self.Id;
  return out;
}

boost::json::value NodeProcess::quarantine() const {
  boost::json::array out;
  auto now = Time.now();
  for (const auto &it : CrashQuarantine.entries(now)) {
    auto left =
        std::chrono::duration_cast<std::chrono::seconds>(it.Until - now);
    out.push_back(
        boost::json::object{{"fingerprint", std::to_string(it.Fingerprint)},
                            {"service", it.ServiceName},
                            {"crashes", it.Crashes},
                            {"seconds_left", left.count()}});
  }
  return out;
}

bool NodeProcess::liftQuarantine(uint64_t fingerprint) {
  return Notices.lift(
      fingerprint,
      [this](auto topic, auto text, auto left) {
        broadcast(std::move(topic), std::move(text), left);
      },
      Time.now());
}

std::string NodeProcess::recording(uint32_t seconds) const {
  auto from = Time.now() - std::chrono::seconds(seconds);
  return trace::writeTrace(
      Decisions.recording(Self.Id, Seed, from.time_since_epoch().count()));
}

} // namespace radishcross::node
