#include <LibNode/RolloutKeeper.h>

#include <LibBase/Logger.h>
#include <LibConfig/ExternalConfiguration.h>
#include <LibFleet/MemberTable.h>
#include <LibRollout/DeciderChoice.h>
#include <LibRollout/VersionGate.h>

#include <algorithm>
#include <utility>

namespace radishcross::node {

namespace {

using Kind = RolloutNotice::Kind;
using rollout::Action;

/// How long an order is told beyond its period.
constexpr base::Duration OrderTellTime = std::chrono::seconds(10);
constexpr base::Duration ShortestLifetime = std::chrono::milliseconds(500);

std::string numberText(uint64_t n) { return std::to_string(n); }

/// Returns the name of a service as the platform's operator knows it.
std::string operatorName(std::string_view service) {
  const auto slash = service.find('/');
  return std::string(
      slash == std::string_view::npos ? service : service.substr(slash + 1));
}

uint64_t newBadAnswers(const rollout::NodeCounts &counts) {
  uint64_t n = 0;
  for (const auto &it : counts.Routes)
    n += it.New.Bad;
  return n;
}

} // namespace

RolloutKeeper::RolloutKeeper(std::optional<rollout::Bounds> bounds,
                             log::KeyedStore &store, const PlatformPorts &ports,
                             calls::Broker &broker, base::Metrics &metrics,
                             std::string node, uint64_t boot)
    : Bounds(bounds), Store(&store), Ports(&ports), Calls(&broker),
      Counters(&metrics), Node(std::move(node)), Boot(boot) {}

void RolloutKeeper::orderRead(const log::KeyedRecord &record,
                              base::TimePoint now) {
  if (!Bounds || !Ports->DecodeRolloutOrder || record.Value.empty() ||
      !record.Key.starts_with(Ports->RolloutKeyPrefix))
    return;
  base::LastReason reason;
  auto order = Ports->DecodeRolloutOrder(record.Key, record.Value, reason);
  if (!order) {
    base::log(base::LogLevel::Warning, "rollout order refused",
              {{"key", record.Key}, {"reason", reason.line()}});
    return;
  }
  order->Service =
      std::string(config::ExternalConfigurationName) + "/" + order->Service;
  order->At = record.At;
  if (takeOrder(*order, "store", now))
    OrdersToTell.push_back(std::move(*order));
}

bool RolloutKeeper::takeOrder(const rollout::Order &order,
                              std::string_view source, base::TimePoint now) {
  if (!Calls->rolloutOrdered(order, now))
    return false;
  auto &it = Services.try_emplace(order.Service, *Bounds).first->second;
  it.Order = order;
  it.FinalSince.reset();
  it.ReportedBad = 0;
  it.Decider.ordered(order, now);
  base::log(base::LogLevel::Info, "rollout ordered",
            {{"service", order.Service},
             {"version", order.Version},
             {"period_us", std::to_string(order.Period.count())},
             {"order", numberText(order.At)},
             {"source", std::string(source)}});
  return true;
}

void RolloutKeeper::learn(const std::string &service,
                          const rollout::StoredProgress &progress,
                          base::Duration age, base::TimePoint now) {
  const auto &value = progress.Value;
  const auto it = Services.find(service);
  if (it != Services.end() && it->second.Order.At == value.OrderAt)
    it->second.HeardAt = now;
  if (!Calls->rolloutLearned(service, progress, age, now))
    return;
  if (value.isFinal() && it != Services.end())
    it->second.FinalSince = now;
  Counters->setGauge("rollout_step{service=\"" + service + "\"}",
                     static_cast<double>(value.Step));
  base::log(
      base::LogLevel::Info, "rollout state taken",
      {{"service", service},
       {"version", value.Version},
       {"state", std::string(base::nameOf(rollout::PhaseNames, value.State))},
       {"step", numberText(value.Step)},
       {"order", numberText(value.OrderAt)},
       {"offset", numberText(progress.Offset)},
       {"age_us", std::to_string(age.count())}});
}

void RolloutKeeper::halt(const std::string &service, uint64_t orderAt,
                         base::TimePoint now) {
  Calls->rolloutHalted(service, orderAt, now);
  base::log(base::LogLevel::Warning, "rollout halted",
            {{"service", service}, {"order", numberText(orderAt)}});
}

void RolloutKeeper::received(std::string_view topic, std::string_view text,
                             const fleet::NodeId &from, base::TimePoint now) {
  auto notice = Bounds ? parseRolloutNotice(topic, text) : std::nullopt;
  if (!notice || (notice->What == Kind::Counts && from.empty()))
    return;
  const auto &order = notice->Ordered;
  if (notice->What == Kind::Order || notice->What == Kind::State)
    takeOrder(order, "peer", now);
  if (notice->What == Kind::State)
    learn(order.Service, notice->Progress, notice->Age, now);
  if (notice->What == Kind::Halt)
    halt(order.Service, order.At, now);
  const auto it = Services.find(order.Service);
  // A node that asks for an order's state has been restarted.
  if (notice->What == Kind::Order && it != Services.end() &&
      it->second.Order.At == order.At && it->second.FinalSince)
    it->second.FinalSince = now;
  if (notice->What != Kind::Counts || it == Services.end())
    return;
  notice->Counts.Node = from;
  it->second.Decider.counted(notice->Counts, now);
}

void RolloutKeeper::broadcast(peer::FleetRuntime &fleet,
                              const RolloutNotice &notice,
                              base::Duration lifetime) {
  fleet.broadcastNotice(rolloutTopic(notice), rolloutText(notice),
                        std::max(lifetime, ShortestLifetime));
}

void RolloutKeeper::tick(peer::FleetRuntime &fleet, base::TimePoint now) {
  if (!Bounds || Services.empty())
    return;
  for (auto &it : std::exchange(OrdersToTell, {})) {
    RolloutNotice notice;
    notice.Ordered = it;
    broadcast(fleet, notice, it.Period + OrderTellTime);
  }
  logCuts();
  std::vector<std::string> live;
  for (const auto &it : fleet.members())
    if (it.State == fleet::MemberState::Alive)
      live.push_back(it.Identity.Id);
  for (auto &[name, service] : Services) {
    size_t ready = 0;
    size_t old = 0;
    for (const auto &member : fleet.members()) {
      if (!fleet::isLive(member))
        continue;
      for (const auto &it : member.Targets)
        if (it.Service == name && it.State == fleet::TargetState::Ready)
          ++(it.SoftwareVersion == service.Order.Version ? ready : old);
    }
    const std::string decider(rollout::deciderOf(name, live));
    service.IsDecider = decider == Node;
    service.Decider.appointed(
        service.IsDecider &&
        (!service.FinalSince || now - *service.FinalSince < FinalTellTime));
    service.Decider.targets(ready, old);
    report(name, service, decider, live.size(), fleet, now);
    for (const auto &action : service.Decider.tick(now))
      run(name, service, action, fleet, now);
  }
}

void RolloutKeeper::run(const std::string &name, Service &service,
                        const Action &action, peer::FleetRuntime &fleet,
                        base::TimePoint now) {
  RolloutNotice notice;
  notice.Ordered = service.Order;
  switch (action.What) {
  case Action::Kind::Read:
    return read(name);
  case Action::Kind::Write:
    return write(name, action);
  case Action::Kind::Halt:
    halt(name, action.OrderAt, now);
    notice.What = Kind::Halt;
    return broadcast(fleet, notice, FinalTellTime);
  case Action::Kind::Tell:
    break;
  }
  logMove(name, service);
  learn(name, action.Told, action.Age, now);
  notice.What = Kind::State;
  notice.Progress = action.Told;
  notice.Age = action.Age;
  broadcast(fleet, notice,
            action.Told.Value.isFinal()
                ? FinalTellTime
                : rollout::VersionGate::LeaseTime - action.Age);
}

void RolloutKeeper::read(const std::string &name) {
  Store->list(log::Topic::Status, [this,
                                   weak = std::weak_ptr<bool>(LifetimeToken),
                                   name](const log::TopicAnswer &answer) {
    if (weak.expired())
      return;
    rollout::ReadAnswer out;
    out.Reached = answer.Reached;
    out.End = answer.End;
    const auto key = std::string(Ports->RolloutKeyPrefix) + operatorName(name);
    for (const auto &it : answer.Records) {
      if (it.Key != key)
        continue;
      base::LastReason reason;
      auto value = Ports->DecodeRolloutStatus(it.Value, reason);
      if (value)
        out.Newest = rollout::StoredProgress{it.At, std::move(*value)};
      else
        base::log(base::LogLevel::Warning, "rollout state not readable",
                  {{"service", name}, {"reason", reason.line()}});
    }
    Services.at(name).Decider.readDone(out, base::SystemClock().now());
  });
}

void RolloutKeeper::write(const std::string &name, const Action &action) {
  Store->putAt(
      log::Topic::Status, action.At,
      std::string(Ports->RolloutKeyPrefix) + operatorName(name),
      Ports->EncodeRolloutStatus(action.Value),
      [this, weak = std::weak_ptr<bool>(LifetimeToken),
       name](const log::PutAnswer &answer) {
        if (weak.expired())
          return;
        using Put = log::PutAnswer::Kind;
        using Write = rollout::WriteAnswer::Kind;
        rollout::WriteAnswer out;
        out.Offset = answer.At;
        out.Outcome = answer.Outcome == Put::Accepted  ? Write::Accepted
                      : answer.Outcome == Put::Refused ? Write::Refused
                                                       : Write::Unknown;
        if (answer.Outcome != Put::Accepted) {
          ++Counters->counter("rollout_writes_failed_total");
          base::log(base::LogLevel::Warning, "rollout state not written",
                    {{"service", name}, {"reason", answer.Reason.line()}});
        }
        Services.at(name).Decider.writeDone(out, base::SystemClock().now());
      });
}

void RolloutKeeper::report(const std::string &name, Service &service,
                           const std::string &decider, size_t nodes,
                           peer::FleetRuntime &fleet, base::TimePoint now) {
  auto &gates = Calls->versionGates();
  const auto gate = gates.find(name);
  if (gate == gates.end() || service.FinalSince ||
      now - service.ReportedAt < UrgentReportInterval)
    return;
  auto counts = gate->second.report(Node, Boot);
  const auto bad = newBadAnswers(counts);
  const auto interval =
      ReportInterval + ReportIntervalPerNode * static_cast<int64_t>(nodes);
  if (bad == service.ReportedBad && now - service.ReportedAt < interval)
    return;
  service.ReportedAt = now;
  service.ReportedBad = bad;
  RolloutNotice notice;
  notice.What = Kind::Counts;
  notice.Ordered = service.Order;
  notice.Counts = std::move(counts);
  const auto topic = rolloutTopic(notice);
  const auto text = rolloutText(notice);
  if (decider == Node)
    received(topic, text, Node, now);
  else if (!decider.empty())
    fleet.sendNotice(decider, topic, text);
  if (decider == Node || decider.empty() || now - service.HeardAt < SilenceTime)
    return;
  RolloutNotice order;
  order.Ordered = service.Order;
  fleet.sendNotice(decider, rolloutTopic(order), rolloutText(order));
}

/// Logs and counts what this node's decider has moved.
void RolloutKeeper::logMove(const std::string &name, Service &service) {
  const auto &known = service.Decider.known();
  const auto reason = service.Decider.lastReason();
  if (!known || !reason || service.LoggedOffset == known->Offset)
    return;
  service.LoggedOffset = known->Offset;
  const std::string why(base::nameOf(rollout::ReasonNames, *reason));
  ++Counters->counter("rollout_moves_total{reason=\"" + why + "\"}");
  const auto &fault = service.Decider.fault();
  base::log(base::LogLevel::Info, "rollout moved",
            {{"service", name},
             {"version", known->Value.Version},
             {"state", std::string(base::nameOf(rollout::PhaseNames,
                                                known->Value.State))},
             {"step", numberText(known->Value.Step)},
             {"reason", why},
             {"new_answers", numberText(fault ? fault->New.Answers : 0)},
             {"new_bad", numberText(fault ? fault->New.Bad : 0)},
             {"old_answers", numberText(fault ? fault->Old.Answers : 0)},
             {"old_bad", numberText(fault ? fault->Old.Bad : 0)}});
}

void RolloutKeeper::logCuts() {
  for (const auto &it : Calls->takeVersionCuts()) {
    ++Counters->counter("rollout_local_stops_total");
    base::log(base::LogLevel::Warning, "rollout stopped here",
              {{"service", it.Service},
               {"route", it.Why.Route},
               {"new_answers", numberText(it.Why.New.Answers)},
               {"new_bad", numberText(it.Why.New.Bad)},
               {"old_answers", numberText(it.Why.Old.Answers)},
               {"old_bad", numberText(it.Why.Old.Bad)}});
  }
}

} // namespace radishcross::node
