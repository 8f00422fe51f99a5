#include <LibNode/NodeProcess.h>

#include <LibBase/Logger.h>
#include <LibBase/WallClock.h>
#include <LibConfig/VersionReconciler.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/HeldPlayer.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishcross::node {

namespace {

using namespace std::chrono_literals;

/// How often queue deadlines, leases and pending changes are checked.
constexpr base::Duration TickPeriod = 20ms;

/// How long a change waits at most for the store to confirm that it keeps the
/// versions held.
constexpr base::Duration MaxStoreWait = std::chrono::seconds(1);

VersionNumbers versionNumbersOf(const log::HeldVersions &held) {
  VersionNumbers out;
  for (const auto &it : held.snapshot()->versions())
    out.emplace(it.Configuration, it.Version);
  return out;
}

} // namespace

NodeProcess::~NodeProcess() { Memory->detach(); }

/// Applies what the fold alone can't tell: the versions that this node's
/// earlier process held.
void NodeProcess::applyVersionFloor(const VersionNumbers &stored) {
  IsFloorApplied = true;
  std::map<std::string, uint64_t> floor(stored.begin(), stored.end());
  Held.raiseFloor(floor);
  Held.raiseFloor(Fleet->formerExceptions());
  foldAdvanced(Fleet->fold());
}

void NodeProcess::foldAdvanced(const log::Fold &fold) {
  if (!IsFloorApplied) {
    // If the log has no change, no version can have been held.
    if (fold.offset() == 0)
      return applyVersionFloor({});
    if (!std::exchange(IsLoadingFloor, true))
      StoredVersions.load(
          [this](const VersionNumbers &stored) { applyVersionFloor(stored); });
    return;
  }
  activateHeldVersions();
  updateDrained(fold);
  Changes.foldAdvanced(fold);
}

/// Activates what the fold selects once the store has kept the versions held,
/// so that a later process of this node reverts none of them. If the store
/// doesn't answer, the change is delayed by at most MaxStoreWait.
void NodeProcess::activateHeldVersions() {
  auto now = Time.now();
  auto next = Held;
  bool isChanged = next.update(Fleet->fold());
  auto numbers = versionNumbersOf(next);
  bool isStored = numbers.empty() || StoredVersions.isStored(numbers);
  if (isChanged && !isStored) {
    StoredVersions.setDesired(numbers);
    StoredVersions.tick(now);
    if (!StorePendingSince)
      StorePendingSince = now;
    if (now - *StorePendingSince < MaxStoreWait)
      return;
  }
  StorePendingSince.reset();
  Held = std::move(next);
  auto at = now.time_since_epoch().count();
  bool isFirst = !std::exchange(IsStartRecorded, true);
  Decisions.record(isFirst ? log::traceStart(at, Held)
                           : log::traceUpdate(at, isChanged, Held));
  Fleet->setExceptions(Held.exceptions());
  if (isChanged || !ActiveSnapshot)
    activateSnapshot();
}

void NodeProcess::externalChanged() {
  activateSnapshot();
  Fleet->setExternalVersion(Link.configuration().version());
}

/// Activates the held versions and the external one together. All of them have
/// been accepted, so where they don't fit each other the external one precedes.
void NodeProcess::activateSnapshot() {
  auto versions = Held.snapshot()->versions();
  const auto &external = Link.configuration().current();
  if (external.Content)
    versions.push_back(external);
  base::LastReason reason;
  auto next = config::Snapshot::create(std::move(versions),
                                       Held.snapshot()->offset(), reason);
  Conflicts = 0;
  if (!next && external.Content) {
    versions = Held.snapshot()->versions();
    versions.push_back(external);
    const auto repairs =
        config::reconcileVersions(versions, config::ExternalConfigurationName);
    Conflicts = repairs.size();
    base::log(base::LogLevel::Warning, "versions conflict",
              {{"version", std::to_string(external.Version)},
               {"count", std::to_string(Conflicts)},
               {"repairs", summaryOf(repairs)}});
    next = config::Snapshot::create(std::move(versions),
                                    Held.snapshot()->offset(), reason);
  }
  if (!next) {
    base::log(base::LogLevel::Error, "versions do not fit each other",
              {{"external", std::to_string(external.Version)},
               {"reason", reason.line()}});
    return;
  }
  ActiveSnapshot = std::move(*next);
  CallsGate.limitsChanged(ActiveSnapshot);
  Shares.snapshotChanged(*ActiveSnapshot);
  HealthCheck.ask();
  for (const auto &held : ActiveSnapshot->versions()) {
    auto &since = HeldSince[held.Configuration];
    if (since.Version == held.Version)
      continue;
    since = {held.Configuration, held.Version, base::unixMilliseconds()};
    base::log(base::LogLevel::Info, "version in force",
              {{"configuration", held.Configuration},
               {"version", std::to_string(held.Version)},
               {"offset", std::to_string(ActiveSnapshot->offset())}});
  }
}

void NodeProcess::updateDrained(const log::Fold &fold) {
  std::vector<std::string> names;
  for (const auto &[name, offset] : fold.drained())
    names.push_back(name);
  if (names == DrainedNames)
    return;
  DrainedNames = std::move(names);
  CallsBroker.drainedChanged(DrainedNames, Time.now());
}

void NodeProcess::membersChanged() {
  MembersDirty = false;
  CallsBroker.membersChanged(Fleet->members(), Time.now());
  Shares.membersChanged(Fleet->members());
}

void NodeProcess::targetsChanged() {
  Departures.keep(*Fleet, Time.now());
  CallsGate.targetsChanged(Leases.targetsForGate(Time.now()), Time.now());
  auto targets = Leases.current();
  // Without bounds nobody uses the versions, so they are not announced.
  if (!Settings.Versions)
    for (auto &it : targets)
      it.SoftwareVersion.clear();
  Fleet->setTargets(std::move(targets));
  if (ActiveSnapshot)
    HealthCheck.ask();
}

std::string NodeProcess::checkPathOf(std::string_view service) const {
  const auto *it = ActiveSnapshot->findService(service);
  return it ? it->HealthPath : std::string();
}

void NodeProcess::armTimer() {
  Timer.expires_after(TickPeriod);
  // A handler that is already due runs even after the timer is destroyed.
  Timer.async_wait([this, weak = std::weak_ptr<bool>(LifetimeToken)](
                       boost::system::error_code ec) {
    if (ec || weak.expired())
      return;
    tick();
    armTimer();
  });
}

void NodeProcess::tick() {
  if (!Recovered && isServing())
    recovered();
  StoredVersions.tick(Time.now());
  if (StorePendingSince && Time.now() - *StorePendingSince >= MaxStoreWait)
    activateHeldVersions();
  Link.tick(Fleet->members(), Time.now());
  Departures.tick(*Fleet, Time.now());
  if (Leases.tick(Time.now()))
    targetsChanged();
  Notices.publish(
      [this](auto topic, auto text, auto left) {
        broadcast(std::move(topic), std::move(text), left);
      },
      Time.now());
  StoredQuarantines.tick(Time.now());
  if (MembersDirty)
    membersChanged();
  Rollouts.tick(*Fleet, Time.now());
  CallsBroker.tick(Time.now());
  Proxy->tick();
  Shares.tick();
  Changes.tick();
  base::flushLog();
  drainTick();
}

void NodeProcess::broadcast(std::string topic, std::string text,
                            base::Duration lifetime) {
  Fleet->broadcastNotice(std::move(topic), std::move(text), lifetime);
}

void NodeProcess::recovered() {
  Recovered = true;
  // No call can have run in a fleet that never had a configuration, so calls
  // with an idempotency key can't have been executed before.
  if (fold().offset() == 0)
    CallsBroker.assumeNoEarlierCalls(Time.now());
  base::log(base::LogLevel::Info, "recovered",
            {{"offset", std::to_string(fold().offset())}});
}

bool NodeProcess::ready() const { return isServing() && !Draining.isStarted(); }

/// Returns whether calls can be handled. A draining node still accepts the
/// calls that arrive.
bool NodeProcess::isServing() const {
  if (!Fleet || !Fleet->ready() || !ActiveSnapshot)
    return false;
  return !Settings.HasOperatorConfiguration ||
         (Link.configuration().version() != 0 &&
          Fleet->isExternalAsNewAsBefore());
}

void NodeProcess::change(log::Record record, base::Duration timeout,
                         std::function<void(admin::ChangeOutcome)> done) {
  Changes.submit(record, timeout, std::move(done));
}

void NodeProcess::settingsChanged(const admin::NodeSettings &settings) {
  Settings = settings;
  auto log = settings.Log;
  log.Node = Self.Id;
  log.DataCentre = Self.DataCentre;
  base::configureLog(log);
  Leases.setLifetime(settings.TargetLease);
  Announcements.setLocalTarget(localTargetOf(settings));
  Proxy->setNames(settings.CallHeaders, settings.Service);
  Fleet->addSeeds(settings.SeedHosts);
}

void NodeProcess::drainSelf() {
  if (!Draining.start(std::chrono::seconds(Settings.DrainSeconds), Time.now()))
    return;
  base::log(base::LogLevel::Info, "drain started");
  Leases.drainAll();
  targetsChanged();
  Proxy->drain(Draining.maxDrainTime());
}

void NodeProcess::drainTick() {
  auto step = Draining.poll(Proxy->inFlight(), Time.now());
  if (step != DrainPlan::Step::LeaveIdle &&
      step != DrainPlan::Step::LeaveAtDeadline)
    return;
  base::log(step == DrainPlan::Step::LeaveIdle ? base::LogLevel::Info
                                               : base::LogLevel::Warning,
            "drain ended",
            {{"calls_in_flight", std::to_string(Proxy->inFlight())}});
  Proxy->answerUnfinished();
  Fleet->leave([this] {
    if (OnDrained)
      OnDrained();
  });
}

} // namespace radishcross::node
