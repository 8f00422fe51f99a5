#include <LibNode/NodeProcess.h>

#include <LibBase/Logger.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/HeldPlayer.h>
#include <LibNode/HeartbeatCodec.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace radishcross::node {

namespace {

using namespace std::chrono_literals;

/// How often queue deadlines, leases and pending changes are looked at.
constexpr base::Duration TickPeriod = 20ms;

/// What a node remembers of its decisions for \ref recording.
constexpr size_t MostDecisions = 65536;

/// Half of the memory is for the entries and half for their texts.
trace::RingLimits recordingLimits(size_t bytes) {
  return {std::min(MostDecisions, bytes / 2 / sizeof(trace::Entry)), bytes / 2};
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

OwnTarget ownTargetOf(const admin::NodeSettings &settings) {
  OwnTarget out;
  out.Where = settings.TargetAddress;
  // Without the address any service may be announced here.
  if (out.Where && !settings.Service.empty())
    out.Service = fullServiceName(settings.Service);
  return out;
}

/// How long nodes that start together take to meet.
constexpr base::Duration FirstMeeting = std::chrono::milliseconds(1500);

/// How long a change waits for the store to keep that it is held.
constexpr base::Duration LongestKeeping = std::chrono::seconds(1);

HeldNumbers numbersOf(const log::HeldVersions &held) {
  HeldNumbers out;
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
      Seed(randomSeed()), Decisions(recordingLimits(settings.RecordingBytes)),
      Ports(std::move(ports)),
      Store(Ports.OpenStore(context, settings.Platform, Counters)),
      Platform(*Store, Seed),
      Link(context, *Store, Ports,
           {Self.Id, static_cast<uint64_t>(unixMilliseconds()), Self.Gossip},
           {[this](const base::Address &it) { Fleet->addSeeds({it}); },
            [this] { externalChanged(); },
            [this] { return Fleet->externalDuty(); },
            [this](base::TimePoint since) { Fleet->noteExternalRead(since); }}),
      Kept(*Store, Self.Id, [this] { putInForce(); }), Quarantined(Decisions),
      News(Quarantined), Leases(Decisions, settings.TargetLease),
      CallsBroker({Self.Id, Self.DataCentre, Self.Region, Seed,
                   std::chrono::minutes(1), settings.Retries,
                   settings.Compared},
                  Quarantined, Decisions),
      CallsGate(Quarantined, Decisions), Usage(CallsBroker),
      Held(Self.Id, Self.NodeLabels), Changes(Platform, Time,
                                              [this] {
                                                if (Fleet)
                                                  Fleet->requestLogRead();
                                              }),
      Announcements(Leases, Time, ownTargetOf(settings),
                    [this] { targetsChanged(); }),
      Administration(*this, settings.Tokens), MetricsText(*this),
      Timer(context) {}

NodeProcess::~NodeProcess() = default;

std::optional<std::unique_ptr<NodeProcess>>
NodeProcess::create(boost::asio::io_context &context,
                    const admin::NodeSettings &settings, PlatformPorts ports,
                    base::LastReason &reason) {
  std::unique_ptr<NodeProcess> node(
      new NodeProcess(context, settings, std::move(ports)));
  if (!node->startFleet(reason) || !node->startListeners(reason))
    return std::nullopt;
  node->Link.start(settings.HasOperatorConfiguration, node->Seed);
  // Unlike seeds they are no sign that others run: nothing waits for them.
  node->Fleet->addSeeds(settings.SeedHosts);
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
    News.arrived(topic, text, Time.now());
  };
  if (Settings.HasOperatorConfiguration)
    environment.External = {
        [this] { return Link.configuration().version(); },
        [this]() -> const std::string & { return Link.packedConfiguration(); },
        [this] { return Link.isOperatorRead() && Link.isOperatorReached(); },
        [this] { return Link.isOperatorSpacing(); },
        [this](peer::ExternalRecord it, const fleet::NodeId &peer) {
          Link.takePacked(std::move(it.Packed), peer);
        }};
  environment.HasSeedHosts = !Settings.SeedHosts.empty();
  environment.Freshness.Bound = Settings.InForceBound;
  environment.MinimumLinkBytesPerSecond = Settings.LeastLinkBytesPerSecond;
  environment.Elapsed = &Elapsed;
  if (Settings.IsFirstStart)
    environment.SeedContactTimeout = FirstMeeting;
  environment.Freshness.Quiet = environment.SeedContactTimeout;
  auto shell = peer::FleetRuntime::create(std::move(environment), reason);
  if (!shell)
    return false;
  Fleet = std::move(*shell);
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
    return isServing() ? InForce : nullptr;
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
  auto proxy = http::CallProxy::create(std::move(environment), Settings.Calls,
                                       Settings.Mesh, reason);
  if (!proxy)
    return false;
  Proxy = std::move(*proxy);
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
  auto made =
      http::Server::create(*Context, address, {}, std::move(handler), reason);
  if (!made)
    return false;
  server = std::move(*made);
  return true;
}

/// Takes what the fold alone does not tell of this node's earlier process.
void NodeProcess::takeFloor(const HeldNumbers &kept) {
  IsFloorTaken = true;
  std::map<std::string, uint64_t> floor(kept.begin(), kept.end());
  Held.raiseFloor(floor);
  Held.raiseFloor(Fleet->formerExceptions());
  foldAdvanced(Fleet->fold());
}

void NodeProcess::foldAdvanced(const log::Fold &fold) {
  if (!IsFloorTaken) {
    // Without any change in the log nothing can have been held.
    if (fold.offset() == 0)
      return takeFloor({});
    if (!std::exchange(IsRecalling, true))
      Kept.recall([this](const HeldNumbers &kept) { takeFloor(kept); });
    return;
  }
  putInForce();
  drainedChanged(fold);
  Changes.foldAdvanced(fold);
}

/// Puts what the fold selects in force, once the store keeps that this node
/// holds it: a later process steps back from nothing then. A store that does
/// not answer holds a change back for a bounded time.
void NodeProcess::putInForce() {
  auto now = Time.now();
  auto next = Held;
  bool isChanged = next.update(Fleet->fold());
  auto numbers = numbersOf(next);
  bool isKept = numbers.empty() || Kept.covers(numbers);
  if (isChanged && !isKept) {
    Kept.note(numbers);
    Kept.tick(now);
    if (!KeepingSince)
      KeepingSince = now;
    if (now - *KeepingSince < LongestKeeping)
      return;
  }
  KeepingSince.reset();
  Held = std::move(next);
  auto at = now.time_since_epoch().count();
  bool isFirst = !std::exchange(IsStartRecorded, true);
  Decisions.record(isFirst ? log::traceStart(at, Held)
                           : log::traceUpdate(at, isChanged, Held));
  Fleet->setExceptions(Held.exceptions());
  if (isChanged || !InForce)
    snapshotChanged();
}

void NodeProcess::externalChanged() {
  snapshotChanged();
  Fleet->setExternalVersion(Link.configuration().version());
}

/// Puts the versions held and the external one in force together, or leaves
/// what is in force where they do not fit each other.
void NodeProcess::snapshotChanged() {
  auto versions = Held.snapshot()->versions();
  const auto &external = Link.configuration().held();
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
  InForce = std::move(*next);
  CallsGate.limitsChanged(InForce);
  for (const auto &held : InForce->versions()) {
    auto &since = Since[held.Configuration];
    if (since.Version == held.Version)
      continue;
    since = {held.Configuration, held.Version, unixMilliseconds()};
    base::log(base::LogLevel::Info, "version in force",
              {{"configuration", held.Configuration},
               {"version", std::to_string(held.Version)},
               {"offset", std::to_string(InForce->offset())}});
  }
}

void NodeProcess::drainedChanged(const log::Fold &fold) {
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
}

void NodeProcess::targetsChanged() {
  CallsGate.targetsChanged(Leases.atGate(Time.now()), Time.now());
  Fleet->setTargets(Leases.current());
}

void NodeProcess::armTimer() {
  Timer.expires_after(TickPeriod);
  // A handler that is due already runs also after the timer has gone.
  Timer.async_wait(
      [this, weak = std::weak_ptr<bool>(Alive)](boost::system::error_code ec) {
        if (ec || weak.expired())
          return;
        tick();
        armTimer();
      });
}

void NodeProcess::tick() {
  if (!Recovered && isServing())
    recovered();
  Kept.tick(Time.now());
  if (KeepingSince && Time.now() - *KeepingSince >= LongestKeeping)
    putInForce();
  Link.tick(Fleet->members(), Time.now());
  if (Leases.tick(Time.now()))
    targetsChanged();
  News.spread(
      [this](std::string topic, std::string text, base::Duration lifetime) {
        Fleet->broadcastNotice(std::move(topic), std::move(text), lifetime);
      },
      Time.now());
  if (MembersDirty)
    membersChanged();
  CallsBroker.tick(Time.now());
  Proxy->tick();
  Changes.tick();
  base::flushLog();
  drainTick();
}

void NodeProcess::recovered() {
  Recovered = true;
  // No call can have run in a fleet that never had a configuration, so
  // idempotency keys need not be doubted.
  if (fold().offset() == 0)
    CallsBroker.nothingRanBefore(Time.now());
  base::log(base::LogLevel::Info, "recovered",
            {{"offset", std::to_string(fold().offset())}});
}

bool NodeProcess::ready() const { return isServing() && !Draining.isStarted(); }

/// Tells whether calls can be handled; while the node drains it takes those
/// that still come.
bool NodeProcess::isServing() const {
  bool hasConfiguration =
      !Settings.HasOperatorConfiguration || Link.configuration().version() != 0;
  return Fleet && Fleet->ready() && InForce && hasConfiguration;
}

void NodeProcess::change(log::Record record, base::Duration patience,
                         std::function<void(admin::ChangeOutcome)> done) {
  Changes.change(record, patience, std::move(done));
}

void NodeProcess::settingsChanged(const admin::NodeSettings &settings) {
  Settings = settings;
  auto log = settings.Log;
  log.Node = Self.Id;
  log.DataCentre = Self.DataCentre;
  base::setUpLog(log);
  Leases.setLifetime(settings.TargetLease);
  Announcements.setOwnTarget(ownTargetOf(settings));
  Proxy->namesChanged(settings.CallHeaders, settings.Service);
  Fleet->addSeeds(settings.SeedHosts);
}

void NodeProcess::drainSelf() {
  if (!Draining.start(std::chrono::seconds(Settings.DrainSeconds), Time.now()))
    return;
  base::log(base::LogLevel::Info, "drain started");
  Leases.drainAll();
  targetsChanged();
  Proxy->drain(Draining.longest());
}

void NodeProcess::drainTick() {
  auto step = Draining.look(Proxy->inFlight(), Time.now());
  if (step != DrainPlan::Step::Quiet && step != DrainPlan::Step::Late)
    return;
  base::log(step == DrainPlan::Step::Quiet ? base::LogLevel::Info
                                           : base::LogLevel::Warning,
            "drain ended",
            {{"calls_in_flight", std::to_string(Proxy->inFlight())}});
  Fleet->leave([this] {
    if (Drained)
      Drained();
  });
}

} // namespace radishcross::node
