#include <LibHttp/CallProxy.h>

#include <LibBase/Logger.h>
#include <LibHttp/CallEngine.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace radishcross::http {

namespace {

/// Additional header space for the fields that nodes add.
constexpr size_t MeshHeaderBytes = 32UL << 10;

/// The phases of a drain, from its start.
struct DrainPhases {
  /// Calls that may outlast the node are refused from here on. Connections of
  /// the last responses may stay idle for as long before the node ends.
  base::Duration Linger = DefaultDrainLinger;
  /// Until then connections from other nodes are accepted, and from clients.
  base::Duration Mesh = std::chrono::milliseconds(1500);
  base::Duration Calls = std::chrono::milliseconds(2500);
};

/// Shortens the phases where a drain may last \p timeLimit only.
DrainPhases phasesWithin(base::Duration timeLimit) {
  DrainPhases out;
  out.Linger = std::min(out.Linger, timeLimit / 5);
  out.Mesh = std::min(out.Mesh, timeLimit * 3 / 10);
  out.Calls = std::min(out.Calls, timeLimit / 2);
  return out;
}

/// The two listeners and their graceful shutdown.
class HttpCallProxy final : public CallProxy {
public:
  explicit HttpCallProxy(CallProxyEnvironment environment)
      : Counters(environment.Counters), Memory(environment.Memory),
        Budget(environment.Budget),
        Engine(std::make_shared<CallEngine>(std::move(environment))) {}
  ~HttpCallProxy() override { Engine->detach(); }
  HttpCallProxy(const HttpCallProxy &) = delete;
  HttpCallProxy &operator=(const HttpCallProxy &) = delete;

  bool listen(boost::asio::io_context &context, std::shared_ptr<LinkPacer> link,
              const base::Address &callsListen, const base::Address &meshListen,
              base::LastReason &reason);
  void setShare(ServerLimits &limits) const;

  base::Address callsAddress() const override { return Callers->address(); }
  base::Address meshAddress() const override { return Mesh->address(); }
  void setNames(const calls::CallHeaders &headers,
                const std::string &localService) override {
    Engine->setNames(headers, localService);
  }
  void setAllotments(tenants::AllotmentPort *allotments) override {
    Engine->setAllotments(allotments);
  }
  void drain(base::Duration timeLimit) override;
  void answerUnfinished() override { Callers->answerUnfinished(); }
  size_t inFlight() const override;
  void tick() override;

private:
  void applyClientLimits();

  base::Metrics *Counters;
  std::shared_ptr<MemoryLedger> Memory;
  std::shared_ptr<ConnectionBudget> Budget;
  std::shared_ptr<CallEngine> Engine;
  config::ClientLimits InForce;
  std::shared_ptr<Server> Callers;
  std::shared_ptr<Server> Mesh;
  std::optional<base::TimePoint> DrainingSince;
  DrainPhases Phases;
  bool MeshClosing = false;
  bool Closing = false;
};

bool HttpCallProxy::listen(boost::asio::io_context &context,
                           std::shared_ptr<LinkPacer> link,
                           const base::Address &callsListen,
                           const base::Address &meshListen,
                           base::LastReason &reason) {
  ServerLimits limits;
  limits.Counters = Counters;
  limits.Side = "callers";
  limits.Link = std::move(link);
  limits.Memory = Memory;
  setShare(limits);
  limits.AdvertisesIdleTimeout = true;
  auto callers = Server::create(
      context, callsListen, limits,
      [engine = Engine](IncomingRequest it) {
        return engine->handleCaller(std::move(it));
      },
      reason);
  if (!callers)
    return false;
  limits.Side = "mesh";
  limits.WritesInTurns = true;
  setShare(limits);
  limits.AdvertisesIdleTimeout = false;
  limits.HeaderBytes = MeshHeaderBytes;
  auto mesh = Server::create(
      context, meshListen, limits,
      [engine = Engine](IncomingRequest it) {
        return engine->handleMesh(std::move(it));
      },
      reason);
  if (!mesh)
    return false;
  Callers = *callers;
  Mesh = *mesh;
  return true;
}

/// Each of the two listeners keeps a quarter of the budget.
void HttpCallProxy::setShare(ServerLimits &limits) const {
  constexpr size_t ReserveDivisor = 4;
  limits.Budget = Budget;
  if (Budget)
    limits.BudgetShare = Budget->add(Budget->total() / ReserveDivisor);
}

/// Applies the client limits of the configuration in force. The mesh listener
/// accepts whatever another node's callers may send, plus the mesh fields.
void HttpCallProxy::applyClientLimits() {
  auto snapshot = Engine->snapshot();
  if (!snapshot || snapshot->clientLimits() == InForce)
    return;
  InForce = snapshot->clientLimits();
  Callers->setClientLimits(InForce.HeaderBytes, InForce.BodyBytes,
                           InForce.HeaderTimeout, InForce.IdleTimeout);
  ServerLimits mesh;
  Mesh->setClientLimits(
      std::min(InForce.HeaderBytes, SIZE_MAX - MeshHeaderBytes) +
          MeshHeaderBytes,
      std::max(mesh.BodyBytes, InForce.BodyBytes), mesh.RequestTimeout,
      mesh.IdleTimeout);
  base::log(base::LogLevel::Info, "client limits in force",
            {{"header_bytes", std::to_string(InForce.HeaderBytes)},
             {"body_bytes", std::to_string(InForce.BodyBytes)},
             {"idle_timeout_us", std::to_string(InForce.IdleTimeout.count())}});
}

void HttpCallProxy::drain(base::Duration timeLimit) {
  if (DrainingSince)
    return;
  DrainingSince = Engine->now();
  Phases = phasesWithin(timeLimit);
  Engine->setShutdownTime(*DrainingSince + timeLimit - Phases.Linger);
  Callers->closeAfterResponses();
  Mesh->closeAfterResponses();
}

size_t HttpCallProxy::inFlight() const {
  size_t n = Callers->inFlight() + Mesh->inFlight();
  return DrainingSince && !Closing ? n + 1 : n;
}

void HttpCallProxy::tick() {
  Engine->tick();
  applyClientLimits();
  auto gauge = [this](std::string_view name, size_t value) {
    Counters->setGauge(name, static_cast<double>(value));
  };
  gauge("proxy_connections{side=\"callers\"}", Callers->connections());
  gauge("proxy_connections{side=\"mesh\"}", Mesh->connections());
  if (Memory)
    gauge("held_bytes", Memory->held());
  gauge("proxy_idle_connections", Engine->idleConnections());
  if (!DrainingSince || Closing)
    return;
  base::Duration draining = Engine->now() - *DrainingSince;
  if (draining > Phases.Linger)
    Engine->refuseLongCalls();
  if (draining < Phases.Mesh)
    return;
  if (!std::exchange(MeshClosing, true))
    Mesh->drain();
  // Calls in flight still make nested calls through the callers' listener, and
  // open mesh connections may bring further calls.
  if (draining < Phases.Calls || Mesh->connections() > 0 ||
      Engine->callsAtGate() > 0)
    return;
  Closing = true;
  Callers->drain();
}

} // namespace

std::optional<std::shared_ptr<CallProxy>>
CallProxy::create(CallProxyEnvironment environment,
                  const base::Address &callsListen,
                  const base::Address &meshListen, base::LastReason &reason) {
  if (environment.MeshKeys.empty() && !environment.TrustsNetwork)
    return reason.fail(base::ResultCode::MissingKey,
                       "no mesh key is configured");
  auto *context = environment.Context;
  auto link = environment.Link;
  auto proxy = std::make_shared<HttpCallProxy>(std::move(environment));
  if (!proxy->listen(*context, std::move(link), callsListen, meshListen,
                     reason))
    return std::nullopt;
  return proxy;
}

} // namespace radishcross::http
