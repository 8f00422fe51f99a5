#include <LibNode/NodeProcess.h>

#include <LibBase/Logger.h>

#include <array>
#include <chrono>

// The part of NodeProcess that sets gauges from the current state when the
// metrics are read.

namespace radishcross::node {

namespace {

/// Rates of targets are counted in thousandths.
constexpr double MilliPerUnit = 1000;
/// The maximum number of configurations and of services with a label of their
/// own.
constexpr size_t MaxLabels = 64;

std::string labelled(std::string_view name, std::string_view label,
                     std::string_view value) {
  std::string out(name);
  out += "{";
  out += label;
  out += "=\"";
  out += value;
  return out + "\"}";
}

double secondsOf(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

} // namespace

base::Metrics &NodeProcess::metrics() {
  auto set = [this](std::string_view name, auto value) {
    Counters.setGauge(name, static_cast<double>(value));
  };
  set("control_bytes", Fleet->controlBytes());
  set("calls_in_flight", Proxy->inFlight());
  set("configuration_offset", Fleet->fold().offset());
  set("ready", ready() ? 1 : 0);
  for (const auto &[event, lines] : base::droppedLogLinesByEvent())
    set(labelled("log_lines_dropped_total", "event", event), lines);
  memberMetrics();
  versionMetrics();
  callMetrics();
  hedgeMetrics();
  storeMetrics();
  Shares.setGauges(Counters);
  return Counters;
}

/// Sets the numbers of nodes and targets by state.
void NodeProcess::memberMetrics() {
  std::array<uint64_t, std::size(fleet::MemberStateNames)> members{};
  std::array<uint64_t, std::size(fleet::TargetStateNames)> targets{};
  const auto all = Fleet->members();
  for (const auto &it : all) {
    ++members[static_cast<size_t>(it.State)];
    if (!fleet::isLive(it))
      continue;
    for (const auto &target : it.Targets)
      ++targets[static_cast<size_t>(target.State)];
  }
  Counters.setGauge("members", static_cast<double>(all.size()));
  for (const auto &it : fleet::MemberStateNames)
    Counters.setGauge(
        labelled("members_by_state", "state", it.Name),
        static_cast<double>(members[static_cast<size_t>(it.Value)]));
  for (const auto &it : fleet::TargetStateNames)
    Counters.setGauge(
        labelled("targets", "state", it.Name),
        static_cast<double>(targets[static_cast<size_t>(it.Value)]));
}

void NodeProcess::versionMetrics() {
  Counters.setGauge("external_configuration_repairs",
                    static_cast<double>(Link.repairCount()));
  Counters.setGauge("configuration_conflicts", static_cast<double>(Conflicts));
  Counters.removeGauges("configuration_version");
  size_t n = 0;
  if (ActiveSnapshot)
    for (const auto &it : ActiveSnapshot->versions())
      if (++n <= MaxLabels)
        Counters.setGauge(labelled("configuration_version", "configuration",
                                   it.Configuration),
                          static_cast<double>(it.Version));
}

/// Sets the numbers of second attempts beside slow first ones.
void NodeProcess::hedgeMetrics() {
  for (const auto *it : {"hedges_total", "hedges_not_started_total"})
    Counters.removeGauges(it);
  size_t n = 0;
  for (const auto &[service, counts] : CallsBroker.hedgeCounts()) {
    if (++n > MaxLabels)
      break;
    auto set = [&, &name = service](std::string_view stem,
                                    std::string_view label,
                                    std::string_view value, uint64_t count) {
      auto text = labelled(stem, "service", name);
      text.back() = ',';
      text += std::string(label) + "=\"" + std::string(value) + "\"}";
      Counters.setGauge(text, static_cast<double>(count));
    };
    set("hedges_total", "outcome", "started", counts.Started);
    set("hedges_total", "outcome", "won", counts.Won);
    set("hedges_total", "outcome", "lost", counts.Lost);
    set("hedges_total", "outcome", "abandoned", counts.Abandoned);
    for (const auto &it : balance::HedgeRefusalNames)
      if (it.Value != balance::HedgeRefusal::None)
        set("hedges_not_started_total", "reason", it.Name,
            counts.NotStarted[static_cast<size_t>(it.Value)]);
  }
}

/// Sets the remaining retry budgets and the load of the gates.
void NodeProcess::callMetrics() {
  for (const auto *it :
       {"retries_left", "gate_limit", "gate_running", "gate_waiting",
        "gate_recent_starts", "gate_rate_limit"})
    Counters.removeGauges(it);
  size_t n = 0;
  for (const auto &[service, left] : CallsBroker.retriesLeft(Time.now()))
    if (++n <= MaxLabels)
      Counters.setGauge(labelled("retries_left", "service", service),
                        static_cast<double>(left));
  n = 0;
  for (const auto &[service, view] : CallsGate.viewsByService()) {
    if (++n > MaxLabels)
      break;
    auto set = [&, &name = service](std::string_view stem, double value) {
      Counters.setGauge(labelled(stem, "service", name), value);
    };
    set("gate_limit", view.Limit);
    set("gate_running", view.Running);
    set("gate_waiting", view.Waiting);
    set("gate_recent_starts", view.RecentStarts);
    if (view.RateLimit)
      set("gate_rate_limit",
          static_cast<double>(*view.RateLimit) / MilliPerUnit);
  }
}

/// Sets, for each topic, the time since the store last answered a read, which
/// has no value before the first answer, and how late the next answer is.
void NodeProcess::storeMetrics() {
  auto now = Time.now();
  for (const auto &it : Link.readTimes(now)) {
    auto topic = base::nameOf(log::TopicNames, it.SelectedTopic);
    if (it.LastAnswerAt)
      Counters.setGauge(labelled("store_told_age_seconds", "topic", topic),
                        secondsOf(now - *it.LastAnswerAt));
    Counters.setGauge(labelled("store_read_overdue_seconds", "topic", topic),
                      secondsOf(it.Overdue));
  }
  if (auto age = Fleet->externalAge())
    Counters.setGauge("external_confirmed_age_seconds", secondsOf(*age));
}

} // namespace radishcross::node
