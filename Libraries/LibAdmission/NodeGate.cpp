#include <LibAdmission/NodeGate.h>

#include <LibAdmission/CrashDetector.h>
#include <LibAdmission/NestedKinds.h>
#include <LibAdmission/TargetGate.h>
#include <LibAdmission/TenantShares.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace radishcross::admission {

namespace {

using base::ResultCode;
using fleet::TargetState;

/// Retry-after for calls to a target that this node does not know.
constexpr base::Duration UnknownTargetRetryAfter = std::chrono::seconds(1);

/// Retry-after for a call that gives its place to one of another tenant.
constexpr base::Duration DisplacedRetryAfter = std::chrono::milliseconds(200);

/// A target behind this node with its gate.
struct GatedTarget {
  fleet::TargetRecord Target;
  TargetGateSettings Settings;
  std::unique_ptr<TargetGate> Admission;
  CrashDetector Crashes;
  NestedKinds Nested;
  TenantShares Shares;
  bool Listed = true; ///< False: gone, kept only for its calls in flight.
};

bool sameLimits(const config::ServiceLimits &a,
                const config::ServiceLimits &b) {
  return a.QueueLength == b.QueueLength &&
         a.StandardFloorPercent == b.StandardFloorPercent &&
         a.BackgroundFloorPercent == b.BackgroundFloorPercent &&
         a.RetryBudgetPercent == b.RetryBudgetPercent;
}

bool sameSettings(const TargetGateSettings &a, const TargetGateSettings &b) {
  return a.State == b.State && a.Slots == b.Slots &&
         a.Connections == b.Connections && sameLimits(a.Limits, b.Limits);
}

} // namespace

struct NodeGate::State {
  calls::Quarantine *Quarantined = nullptr;
  trace::Recorder *Record = nullptr;
  config::SnapshotPointer InForce;
  std::map<std::string, GatedTarget, std::less<>> Targets;
  std::unordered_map<Ticket, GatedTarget *> Calls;
  std::vector<GateAnswer> Displaced; ///< Answers for the next tick.
  Ticket LastTicket = 0;
  base::TimePoint LastTime{};

  config::ServiceLimits limitsOf(const std::string &serviceName) const {
    const auto *service = InForce ? InForce->findService(serviceName) : nullptr;
    return service ? service->Limits : config::ServiceLimits{};
  }

  /// Returns the connections that may be open to a target: the configured
  /// maximum or what it announces, whichever is less.
  uint32_t connectionsOf(const fleet::TargetRecord &target) const {
    const auto *service =
        InForce ? InForce->findService(target.Service) : nullptr;
    const uint32_t maximum = service ? service->MaximumConnections : 0;
    return maximum == 0 ? target.Connections
                        : std::min(maximum, target.Connections);
  }

  void configure(GatedTarget &gated) {
    const auto &target = gated.Target;
    const TargetGateSettings settings{
        gated.Listed ? target.State : TargetState::Left, target.Slots,
        connectionsOf(target), limitsOf(target.Service)};
    if (gated.Admission && sameSettings(gated.Settings, settings))
      return;
    if (!gated.Admission)
      gated.Admission = std::make_unique<TargetGate>(target.TargetId, *Record);
    gated.Settings = settings;
    gated.Admission->configure(settings, LastTime);
  }

  /// Updates the crash detector and the quarantine with the end of a call.
  void observe(GatedTarget &gated, Ticket call, calls::AttemptEnd end) {
    auto &crashes = gated.Crashes;
    if (end == calls::AttemptEnd::Broken) {
      reportCrash(gated,
                  crashes.callBroken(gated.Admission->runningFingerprints(),
                                     LastTicket, LastTime));
    } else if (end == calls::AttemptEnd::NotSent) {
      reportCrash(gated, crashes.unreachable(LastTicket, LastTime));
    } else if (end == calls::AttemptEnd::Answered) {
      crashes.answered(call);
      Quarantined->answered(gated.Admission->fingerprintOf(call),
                            gated.Target.Service, LastTime);
    }
  }

  /// Forgets what an earlier process of the target has stated.
  void observeProcess(GatedTarget &gated, const fleet::TargetRecord &next) {
    if (!gated.Admission || next.Epoch == gated.Target.Epoch)
      return;
    gated.Admission->processChanged(LastTime);
  }

  /// Updates the crash detector with a target's new record \p next; null when
  /// the target is no longer listed.
  void observe(GatedTarget &gated, const fleet::TargetRecord *next) {
    if (next && next->Epoch == gated.Target.Epoch) {
      if (next->State != TargetState::Ready)
        gated.Crashes.reset();
      return;
    }
    reportCrash(gated, gated.Crashes.processGone(LastTime));
    if (next)
      gated.Crashes.reset();
  }

  void reportCrash(const GatedTarget &gated,
                   const std::vector<uint64_t> &fingerprints) {
    if (!fingerprints.empty())
      Quarantined->targetCrashed(gated.Target.TargetId, gated.Target.Service,
                                 fingerprints, LastTime);
  }

  void settle(const std::vector<GateAnswer> &answers) {
    for (const auto &it : answers) {
      const auto call = Calls.find(it.Call);
      if (call == Calls.end())
        continue;
      auto &shares = call->second->Shares;
      if (it.What == GateAnswer::Kind::Run)
        shares.started(it.Call);
      if (it.What != GateAnswer::Kind::Refuse)
        continue;
      shares.left(it.Call);
      Calls.erase(call);
    }
  }

  /// Ends the waiting call that gives its place to one of \p tenant; false:
  /// there is none.
  bool displace(GatedTarget &gated, std::string_view tenant,
                config::Rank rank) {
    const auto call = gated.Shares.displacedBy(tenant, rank);
    if (!call)
      return false;
    gated.Admission->abandoned(*call, LastTime);
    Displaced.push_back(GateAnswer::refuse(*call, ResultCode::Overloaded,
                                           DisplacedRetryAfter,
                                           RefusalCause::Displaced));
    settle({Displaced.back()});
    return true;
  }
};

NodeGate::NodeGate(calls::Quarantine &quarantine, trace::Recorder &recorder)
    : Held(std::make_unique<State>()) {
  Held->Quarantined = &quarantine;
  Held->Record = &recorder;
}

NodeGate::~NodeGate() = default;

GateAnswer NodeGate::arrive(const Arrival &arrival, base::TimePoint now) {
  Held->LastTime = now;
  const Ticket call = ++Held->LastTicket;
  if (Held->Quarantined->blocks(arrival.Fingerprint, arrival.ServiceName, now))
    return GateAnswer::refuse(call, ResultCode::Quarantined,
                              calls::Quarantine::QuarantineLifetime,
                              RefusalCause::Quarantine);
  const auto it = Held->Targets.find(arrival.TargetId);
  if (it == Held->Targets.end() ||
      it->second.Target.Service != arrival.ServiceName)
    return GateAnswer::refuse(call, ResultCode::NoTarget,
                              UnknownTargetRetryAfter, RefusalCause::State);
  auto &gated = it->second;
  if (arrival.StatedRate)
    gated.Admission->reported(*arrival.StatedRate, now);
  const bool isNested =
      arrival.IsProvable
          ? arrival.IsNested
          : gated.Nested.arrived({arrival.CallRank, arrival.LatencyObjective},
                                 arrival.IsFromOwnService);
  // Whoever refuses a nested call loses the work above it, whosever that is.
  const bool isShared = !arrival.Tenant.empty() && !isNested;
  const auto ask = [&] {
    return gated.Admission->arrive(call, arrival.CallRank, arrival.Remaining,
                                   arrival.Fingerprint, now,
                                   arrival.LatencyObjective, isNested,
                                   arrival.LinkTime, arrival.CanGoElsewhere);
  };
  auto out = ask();
  if (isShared && out.Code == ResultCode::Overloaded &&
      Held->displace(gated, arrival.Tenant, arrival.CallRank))
    out = ask();
  if (out.What != GateAnswer::Kind::Refuse) {
    Held->Calls[call] = &gated;
    if (isShared)
      gated.Shares.entered(call, arrival.Tenant, arrival.CallRank,
                           out.What == GateAnswer::Kind::Queued);
  }
  return out;
}

bool NodeGate::signalled(Ticket call, const balance::TargetSignals &signals,
                         base::TimePoint now) {
  Held->LastTime = now;
  const auto it = Held->Calls.find(call);
  return it != Held->Calls.end() &&
         it->second->Admission->signalled(call, signals, now);
}

balance::RefusalKind
NodeGate::judgeRefusal(Ticket call,
                       const std::optional<balance::TargetLoad> &load,
                       base::TimePoint now) {
  Held->LastTime = now;
  const auto it = Held->Calls.find(call);
  return it == Held->Calls.end()
             ? balance::RefusalKind::Full
             : it->second->Admission->judgeRefusal(load, now);
}

std::vector<GateAnswer> NodeGate::ended(Ticket call,
                                        const calls::AttemptResult &result,
                                        base::TimePoint now) {
  Held->LastTime = now;
  const auto it = Held->Calls.find(call);
  if (it == Held->Calls.end())
    return {};
  auto &gated = *it->second;
  Held->Calls.erase(it);
  gated.Shares.left(call);
  Held->observe(gated, call, result.End);
  const auto pace = result.Signals && result.Signals->Load
                        ? result.Signals->Load->PacePercent
                        : std::nullopt;
  auto out = gated.Admission->ended(call, result.End, now, result.Refusal,
                                    result.AwaitedReader, pace);
  Held->settle(out);
  return out;
}

void NodeGate::abandoned(Ticket call, base::TimePoint now) {
  Held->LastTime = now;
  const auto it = Held->Calls.find(call);
  if (it == Held->Calls.end())
    return;
  it->second->Admission->abandoned(call, now);
  it->second->Shares.left(call);
  Held->Calls.erase(it);
}

std::vector<GateAnswer> NodeGate::tick(base::TimePoint now) {
  Held->LastTime = now;
  auto out = std::exchange(Held->Displaced, {});
  for (auto &it : Held->Targets) {
    const auto answers = it.second.Admission->tick(now);
    out.insert(out.end(), answers.begin(), answers.end());
  }
  Held->settle(out);
  std::erase_if(Held->Targets, [](const auto &it) {
    return !it.second.Listed && it.second.Admission->inFlight() == 0;
  });
  return out;
}

uint32_t NodeGate::pressurePermille(const std::string &targetId) const {
  const auto it = Held->Targets.find(targetId);
  return it == Held->Targets.end()
             ? 0
             : it->second.Admission->pressurePermille(Held->LastTime);
}

std::map<std::string, GateView> NodeGate::viewsByService() const {
  std::map<std::string, GateView> out;
  for (const auto &[id, it] : Held->Targets) {
    const auto view = it.Admission->view(Held->LastTime);
    auto &sum = out[it.Target.Service];
    sum.Running += view.Running;
    sum.Limit += view.Limit;
    sum.Waiting += view.Waiting;
    sum.QueueLength += view.QueueLength;
    sum.RecentStarts += view.RecentStarts;
    if (view.RateLimit)
      sum.RateLimit = sum.RateLimit.value_or(0) + *view.RateLimit;
  }
  return out;
}

size_t NodeGate::inFlight() const { return Held->Calls.size(); }

void NodeGate::targetsChanged(const std::vector<fleet::TargetRecord> &targets,
                              base::TimePoint now) {
  Held->LastTime = now;
  for (auto &it : Held->Targets)
    it.second.Listed = false;
  for (const auto &it : targets) {
    auto &gated = Held->Targets[it.TargetId];
    Held->observe(gated, &it);
    Held->observeProcess(gated, it);
    gated.Target = it;
    gated.Listed = true;
  }
  for (auto &it : Held->Targets) {
    if (!it.second.Listed)
      Held->observe(it.second, nullptr);
    Held->configure(it.second);
  }
}

void NodeGate::limitsChanged(config::SnapshotPointer snapshot) {
  Held->InForce = std::move(snapshot);
  for (auto &it : Held->Targets)
    Held->configure(it.second);
}

} // namespace radishcross::admission
