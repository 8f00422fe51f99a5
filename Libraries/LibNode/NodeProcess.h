#pragma once

#include <LibAdmin/Api.h>
#include <LibAdmin/MetricsPage.h>
#include <LibAdmin/NodeControl.h>
#include <LibAdmin/NodeSettings.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibBase/Metrics.h>
#include <LibCalls/Broker.h>
#include <LibCalls/Gate.h>
#include <LibCalls/Quarantine.h>
#include <LibCalls/TargetLeases.h>
#include <LibHttp/CallProxy.h>
#include <LibHttp/Server.h>
#include <LibLog/HeldVersions.h>
#include <LibLog/KeyedLog.h>
#include <LibNode/ChangeFlow.h>
#include <LibNode/DrainPlan.h>
#include <LibNode/Holdings.h>
#include <LibNode/PlatformLink.h>
#include <LibNode/QuarantineNews.h>
#include <LibNode/TargetListener.h>
#include <LibNode/UsageMeter.h>
#include <LibPeer/FleetRuntime.h>
#include <LibTrace/Ring.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::node {

/// One node put together: it owns the libraries' objects and passes events from
/// one to the next. All of it runs on the thread of one io_context.
class NodeProcess final : public admin::NodeControl {
public:
  /// Opens every listener and starts to recover; fails with CannotListen.
  static std::optional<std::unique_ptr<NodeProcess>>
  create(boost::asio::io_context &context, const admin::NodeSettings &settings,
         PlatformPorts ports, base::LastReason &reason);
  ~NodeProcess() override;

  const fleet::NodeIdentity &identity() const override { return Self; }
  const log::Fold &fold() const override { return Fleet->fold(); }
  const log::HeldVersions &held() const override { return Held; }
  std::vector<admin::HoldingSince> holdingSince() const override;
  std::vector<fleet::Member> members() const override;
  base::Metrics &metrics() override;
  bool ready() const override;
  void change(log::Record record, base::Duration patience,
              std::function<void(admin::ChangeOutcome)> done) override;
  boost::json::value usage() const override;
  boost::json::value quarantine() const override;
  bool liftQuarantine(uint64_t fingerprint) override;
  std::string recording(uint32_t seconds) const override;
  void drainSelf() override;

  /// Takes over what can change while the node runs; see
  /// admin::withLiveSettings.
  void settingsChanged(const admin::NodeSettings &settings);

  /// Calls \p done once the graceful shutdown is complete.
  void whenDrained(std::function<void()> done) { Drained = std::move(done); }

  base::Address callsAddress() const { return Proxy->callsAddress(); }

private:
  NodeProcess(boost::asio::io_context &context,
              const admin::NodeSettings &settings, PlatformPorts ports);

  bool isServing() const;
  bool startFleet(base::LastReason &reason);
  bool startListeners(base::LastReason &reason);
  bool listen(std::shared_ptr<http::Server> &server,
              const base::Address &address, http::Handler handler,
              base::LastReason &reason);
  boost::json::array servicesInUse() const;
  void memberMetrics();
  void versionMetrics();
  void callMetrics();
  void storeMetrics();
  void foldAdvanced(const log::Fold &fold);
  void takeFloor(const HeldNumbers &kept);
  void snapshotChanged();
  void putInForce();
  void externalChanged();
  void drainedChanged(const log::Fold &fold);
  void membersChanged();
  void targetsChanged();
  void armTimer();
  void tick();
  void recovered();
  void drainTick();

  boost::asio::io_context *Context;
  admin::NodeSettings Settings;
  fleet::NodeIdentity Self;
  base::SystemClock Time;
  base::BootClock Elapsed;
  base::Metrics Counters;
  uint64_t Seed;
  trace::Ring Decisions;
  PlatformPorts Ports;
  std::unique_ptr<log::KeyedStore> Store;
  log::KeyedLog Platform;
  PlatformLink Link;
  Holdings Kept;
  calls::Quarantine Quarantined;
  QuarantineNews News;
  calls::TargetLeases Leases;
  calls::Broker CallsBroker;
  calls::Gate CallsGate;
  UsageMeter Usage;
  log::HeldVersions Held;
  ChangeFlow Changes;
  TargetListener Announcements;
  admin::Api Administration;
  admin::MetricsPage MetricsText;
  std::shared_ptr<peer::FleetRuntime> Fleet;
  std::shared_ptr<http::CallProxy> Proxy;
  std::shared_ptr<http::Server> AdministrationServer;
  std::shared_ptr<http::Server> TargetServer;
  std::shared_ptr<http::Server> MetricsServer; ///< Null: none is asked for.
  boost::asio::steady_timer Timer;
  std::map<std::string, admin::HoldingSince, std::less<>> Since;
  std::vector<std::string> DrainedNames;
  config::SnapshotPointer InForce; ///< The held versions and the external one.
  bool MembersDirty = false;
  bool Recovered = false;
  bool IsRecalling = false; ///< The earlier process's holdings are asked for.
  bool IsFloorTaken = false;
  bool IsStartRecorded = false;
  std::optional<base::TimePoint> KeepingSince; ///< A change waits for Kept.
  DrainPlan Draining;
  std::function<void()> Drained;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace radishcross::node
