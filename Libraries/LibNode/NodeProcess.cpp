#include <LibNode/NodeProcess.h>

#include <LibBase/Logger.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/HeldPlayer.h>
#include <LibNode/HeartbeatCodec.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <sys/resource.h>
#include <utility>

namespace radishcross::node {

namespace {

using namespace std::chrono_literals;

/// How often queue deadlines, leases and pending changes are checked.
constexpr base::Duration TickPeriod = 20ms;

/// The maximum number of decisions that are kept for \ref recording.
constexpr size_t MaxDecisions = 65536;

/// Splits the memory in half between the entries and their texts.
trace::RingRecorderLimits recordingLimits(size_t bytes) {
  return {std::min(MaxDecisions, bytes / 2 / sizeof(trace::Entry)), bytes / 2};
}

uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

fleet::NodeIdentity identityOf(const admin::NodeSettings &settings) {
  fleet::NodeIdentity out;
  out.Id = settings.Node;
  out.DataCentre = settings.DataCentre;
  out.Region = settings.Region;
  out.NodeLabels = settings.Labels;
  out.NodeLabels["data_centre"] = settings.DataCentre;
  out.NodeLabels["region"] = settings.Region;
  out.Gossip = settings.Gossip;
  out.Peer = settings.Peer;
  out.Mesh = settings.Mesh;
  out.Administration = settings.Administration;
  return out;
}

LocalTarget localTargetOf(const admin::NodeSettings &settings) {
  LocalTarget out;
  out.Where = settings.TargetAddress;
  // Without the address any service may be announced here.
  if (out.Where && !settings.Service.empty())
    out.Service = fullServiceName(settings.Service);
  return out;
}

/// How long nodes that start together take to discover each other.
constexpr base::Duration InitialDiscoveryTime = std::chrono::milliseconds(1500);

/// How long a change waits at most for the store to confirm that it keeps the
/// versions held.
constexpr base::Duration MaxStoreWait = std::chrono::seconds(1);

/// Shares of the descriptors: for files, peers and the store; for connections
/// to targets and other nodes; for each listener of the node itself.
constexpr size_t OtherDivisor = 16;
constexpr size_t MinOther = 48;
constexpr size_t OutgoingDivisor = 8;
constexpr size_t OwnListenerDivisor = 16;

/// Returns how many connections clients and nodes may have at the listeners.
size_t incomingConnections(size_t allowed) {
  rlimit limit{};
  size_t n = allowed;
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
    n = std::min<size_t>(n, limit.rlim_cur);
  n -= std::min(n, std::max(MinOther, n / OtherDivisor));
  return n - n / OutgoingDivisor;
}

VersionNumbers versionNumbersOf(const log::HeldVersions &held) {
  VersionNumbers out;
  for (const auto &it : held.snapshot()->versions())
    out.emplace(it.Configuration, it.Version);
  return out;
}

int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

NodeProcess::NodeProcess(boost::asio::io_context &context,
                         const admin::NodeSettings &settings,
                         PlatformPorts ports)
    : Context(&context), Settings(settings), Self(identityOf(settings)),
      Memory(std::make_shared<http::MemoryLedger>(
          http::MemoryLimits{settings.HeldBytes}, Counters)),
      Budget(std::make_shared<http::ConnectionBudget>(
          incomingConnections(settings.Descriptors))),
      Seed(randomSeed()), Decisions(recordingLimits(settings.RecordingBytes)),
      Ports(std::move(ports)),
      Store(Ports.OpenStore(
          context, settings.Platform, Counters,
          http::RepeatPolicy::withinBound(settings.InForceBound,
                                          settings.LeastLinkBytesPerSecond))),
      Platform(*Store, Seed),
      Link(context, *Store, Ports,
           {Self.Id, static_cast<uint64_t>(unixMilliseconds()), Self.Gossip},
           {[this](const base::Address &it) { Fleet->addSeeds({it}); },
            [this] { externalChanged(); },
            [this](const log::KeyedRecord &it) {
              Rollouts.orderRead(it, Time.now());
            },
            [this] { return Fleet->externalDuty(); },
            [this](const fleet::RecordReading &it) {
              Fleet->noteExternalRead(it);
            }}),
      StoredVersions(*Store, Self.Id, [this] { activateHeldVersions(); }),
      CrashQuarantine(Decisions), Notices(CrashQuarantine),
      Leases(Decisions, settings.TargetLease),
      Departures(*Store, Self.Id, Leases, [this] { targetsChanged(); }),
      CallsBroker({Self.Id, Self.DataCentre, Self.Region, Seed,
                   std::chrono::minutes(1), settings.Retries, settings.Compared,
                   settings.Versions},
                  CrashQuarantine, Decisions),
      Rollouts(settings.Versions, *Store, Ports, CallsBroker, Counters, Self.Id,
               static_cast<uint64_t>(unixMilliseconds())),
      CallsGate(CrashQuarantine, Decisions), Usage(CallsBroker),
      Shares(context, Elapsed, Self.Id, settings.Allotments,
             static_cast<uint64_t>(unixMilliseconds()),
             [this](tenants::AllotmentSend it) {
               Fleet->sendAllotment(std::move(it));
             }),
      Held(Self.Id, Self.NodeLabels), Changes(Platform, Time,
                                              [this] {
                                                if (Fleet)
                                                  Fleet->requestLogRead();
                                              }),
      Announcements(
          Leases, Time, localTargetOf(settings), [this] { targetsChanged(); },
          [this] { return Departures.awaitStored(); }),
      Administration(*this, settings.Tokens), MetricsText(*this),
      Timer(context) {}

NodeProcess::~NodeProcess() { Memory->detach(); }

std::optional<std::unique_ptr<NodeProcess>>
NodeProcess::create(boost::asio::io_context &context,
                    const admin::NodeSettings &settings, PlatformPorts ports,
                    base::LastReason &reason) {
  std::unique_ptr<NodeProcess> node(
      new NodeProcess(context, settings, std::move(ports)));
  if (!node->startFleet(reason) || !node->startListeners(reason))
    return std::nullopt;
  node->Link.start(settings.HasOperatorConfiguration, node->Seed);
  // Unlike seeds, seed hosts don't imply that other nodes run, so nothing waits
  // for them.
  node->Fleet->addSeeds(settings.SeedHosts);
  // Before its first start a node has acknowledged nothing.
  if (!settings.IsFirstStart)
    node->Departures.recall(node->Time.now());
  node->armTimer();
  return node;
}

bool NodeProcess::startFleet(base::LastReason &reason) {
  peer::FleetEnvironment environment;
  environment.Context = Context;
  environment.Time = &Time;
  environment.Counters = &Counters;
  environment.Recorder = &Decisions;
  environment.Platform = &Platform;
  environment.Self = Self;
  environment.Seeds = Settings.Seeds;
  environment.MeshKeys = Settings.MeshKeys;
  environment.TrustsNetwork = Settings.TrustsNetwork;
  environment.RandomSeed = Seed;
  environment.TailersPerDataCentre = Settings.TailersPerDataCentre;
  environment.FoldAdvanced = [this](const log::Fold &fold) {
    foldAdvanced(fold);
  };
  environment.MembersChanged = [this] { MembersDirty = true; };
  environment.NoticeReceived = [this](std::string_view topic,
                                      std::string_view text) {
    Notices.receive(topic, text, Time.now());
    Rollouts.received(topic, text, {}, Time.now());
  };
  environment.DirectNoticeReceived = [this](const fleet::NodeId &from,
                                            std::string_view topic,
                                            std::string_view text) {
    Rollouts.received(topic, text, from, Time.now());
  };
  if (Settings.HasOperatorConfiguration)
    environment.External = {
        [this] { return Link.configuration().version(); },
        [this]() -> const std::string & {
          return Link.compressedConfiguration();
        },
        [this] {
          return Link.isReadingOperator() && Link.isOperatorReachable();
        },
        [this] { return Link.isSpacingOperatorReads(); },
        [this](peer::ExternalRecord it, const fleet::NodeId &peer) {
          Link.acceptCompressed(std::move(it.Packed), peer);
        }};
  environment.AllotmentReceived =
      [this](const fleet::NodeId &from,
             const tenants::AllotmentMessage &message) {
        return Shares.receive(from, message);
      };
  environment.HasSeedHosts = !Settings.SeedHosts.empty();
  environment.Freshness.Bound = Settings.InForceBound;
  environment.MinimumLinkBytesPerSecond = Settings.LeastLinkBytesPerSecond;
  environment.Elapsed = &Elapsed;
  if (Settings.IsFirstStart)
    environment.SeedContactTimeout = InitialDiscoveryTime;
  environment.Freshness.StartupDelay = environment.SeedContactTimeout;
  auto runtime = peer::FleetRuntime::create(std::move(environment), reason);
  if (!runtime)
    return false;
  Fleet = std::move(*runtime);
  return true;
}

bool NodeProcess::startListeners(base::LastReason &reason) {
  http::CallProxyEnvironment environment;
  environment.Context = Context;
  environment.Time = &Time;
  environment.Counters = &Counters;
  environment.Broker = &Usage;
  environment.Gate = &CallsGate;
  environment.CurrentSnapshot = [this]() -> config::SnapshotPointer {
    return isServing() ? ActiveSnapshot : nullptr;
  };
  environment.OnTargetLeaving = [this](const std::string &id, uint64_t epoch) {
    const bool isNews = Leases.leaving(id, epoch, Time.now());
    if (isNews)
      targetsChanged();
    return isNews;
  };
  environment.LocalTarget =
      [this](const std::string &id) -> std::optional<fleet::TargetRecord> {
    for (auto &it : Leases.current())
      if (it.TargetId == id)
        return it;
    return std::nullopt;
  };
  environment.MeshKeys = Settings.MeshKeys;
  environment.TrustsNetwork = Settings.TrustsNetwork;
  environment.Headers = Settings.CallHeaders;
  environment.LocalService = Settings.Service;
  environment.NodeId = Self.Id;
  environment.DataCentre = Self.DataCentre;
  if (Settings.LinkBytesPerSecond > 0)
    environment.Link =
        std::make_shared<http::LinkPacer>(Settings.LinkBytesPerSecond);
  environment.Memory = Memory;
  environment.Budget = Budget;
  auto proxy = http::CallProxy::create(std::move(environment), Settings.Calls,
                                       Settings.Mesh, reason);
  if (!proxy)
    return false;
  Proxy = std::move(*proxy);
  Proxy->setAllotments(&Shares);
  return listen(
             AdministrationServer, Settings.Administration,
             [this](http::IncomingRequest request) {
               return Administration.handle(std::move(request));
             },
             reason) &&
         listen(
             TargetServer, Settings.Targets,
             [this](http::IncomingRequest request) {
               return Announcements.handle(std::move(request));
             },
             reason) &&
         (Settings.Metrics.Host.empty() ||
          listen(
              MetricsServer, Settings.Metrics,
              [this](http::IncomingRequest request) {
                return MetricsText.handle(std::move(request));
              },
              reason));
}

bool NodeProcess::listen(std::shared_ptr<http::Server> &server,
                         const base::Address &address, http::Handler handler,
                         base::LastReason &reason) {
  http::ServerLimits limits;
  limits.Memory = Memory;
  limits.Budget = Budget;
  limits.BudgetShare = Budget->add(Budget->total() / OwnListenerDivisor);
  auto made = http::Server::create(*Context, address, limits,
                                   std::move(handler), reason);
  if (!made)
    return false;
  server = std::move(*made);
  return true;
}

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

/// Activates the held versions and the external one together. If they don't fit
/// each other, the active snapshot stays.
void NodeProcess::activateSnapshot() {
  auto versions = Held.snapshot()->versions();
  const auto &external = Link.configuration().current();
  if (external.Content)
    versions.push_back(external);
  base::LastReason reason;
  auto next = config::Snapshot::create(std::move(versions),
                                       Held.snapshot()->offset(), reason);
  if (!next) {
    base::log(base::LogLevel::Error, "versions do not fit each other",
              {{"external", std::to_string(external.Version)},
               {"reason", reason.line()}});
    return;
  }
  ActiveSnapshot = std::move(*next);
  CallsGate.limitsChanged(ActiveSnapshot);
  Shares.snapshotChanged(*ActiveSnapshot);
  for (const auto &held : ActiveSnapshot->versions()) {
    auto &since = HeldSince[held.Configuration];
    if (since.Version == held.Version)
      continue;
    since = {held.Configuration, held.Version, unixMilliseconds()};
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
      [this](std::string topic, std::string text, base::Duration lifetime) {
        Fleet->broadcastNotice(std::move(topic), std::move(text), lifetime);
      },
      Time.now());
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
