#include <LibNode/NodeProcess.h>

#include <LibBase/WallClock.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <sys/resource.h>
#include <utility>

// The part of NodeProcess that creates a node and connects its parts.

namespace radishcross::node {

namespace {

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

/// How long nodes that start together take to discover each other.
constexpr base::Duration InitialDiscoveryTime = std::chrono::milliseconds(1500);

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
           {Self.Id, static_cast<uint64_t>(base::unixMilliseconds()),
            Self.Gossip},
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
      CrashQuarantine(Decisions), StoredQuarantines(*Store, Self.Id),
      Notices(CrashQuarantine, StoredQuarantines),
      Leases(Decisions, settings.TargetLease),
      Departures(
          *Store, Self.Id, Leases, [this] { targetsChanged(); },
          [this](const std::vector<log::KeyedRecord> &it) {
            Notices.restore(StoredQuarantines.recall(it), Time.now());
          }),
      HealthCheck(
          context, Leases,
          [this](std::string_view it) { return checkPathOf(it); },
          [this] { targetsChanged(); }),
      CallsBroker({Self.Id, Self.DataCentre, Self.Region, Seed,
                   std::chrono::minutes(1), settings.Retries, settings.Compared,
                   settings.Versions, settings.Hedging},
                  CrashQuarantine, Decisions),
      Rollouts(settings.Versions, *Store, Ports, CallsBroker, Counters, Self.Id,
               static_cast<uint64_t>(base::unixMilliseconds())),
      CallsGate(CrashQuarantine, Decisions), Usage(CallsBroker),
      Shares(context, Elapsed, Self.Id, settings.Allotments,
             static_cast<uint64_t>(base::unixMilliseconds()),
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
          [this] { return Departures.awaitKept(*Fleet); }),
      Administration(*this, settings.Tokens), MetricsText(*this),
      Timer(context) {}

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
    node->Departures.recall(static_cast<uint64_t>(base::unixMilliseconds()),
                            node->Time.now());
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
                                      std::string_view text,
                                      base::Duration timeLeft) {
    Notices.receive(topic, text, timeLeft, Time.now());
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

} // namespace radishcross::node
