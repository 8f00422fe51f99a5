#include <LibNode/NodeProcess.h>

#include <LibTrace/TraceText.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>

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
  return CrashQuarantine.lift(fingerprint);
}

std::string NodeProcess::recording(uint32_t seconds) const {
  auto from = Time.now() - std::chrono::seconds(seconds);
  return trace::writeTrace(
      Decisions.recording(Self.Id, Seed, from.time_since_epoch().count()));
}

} // namespace radishcross::node
