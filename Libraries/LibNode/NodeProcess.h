#pragma once

#include <LibAdmin/Api.h>
#include <LibAdmin/MetricsPage.h>
#include <LibAdmin/NodeControl.h>
#include <LibAdmin/NodeSettings.h>
#include <LibAdmission/NodeGate.h>
#include <LibAdmission/TargetLeases.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibBase/Metrics.h>
#include <LibCalls/Broker.h>
#include <LibCalls/Quarantine.h>
#include <LibHttp/CallProxy.h>
#include <LibHttp/Server.h>
#include <LibLog/HeldVersions.h>
#include <LibLog/KeyedLog.h>
#include <LibNode/ChangeSubmitter.h>
#include <LibNode/DepartureKeeper.h>
#include <LibNode/DrainPlan.h>
#include <LibNode/HeldVersionStore.h>
#include <LibNode/NodeAllotments.h>
#include <LibNode/PlatformLink.h>
#include <LibNode/QuarantineNotices.h>
#include <LibNode/RolloutKeeper.h>
#include <LibNode/TargetHealthCheck.h>
#include <LibNode/TargetListener.h>
#include <LibNode/UsageMeter.h>
#include <LibPeer/FleetRuntime.h>
#include <LibTrace/RingRecorder.h>

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

/// A running node. It owns the objects of the libraries and passes events
/// between them. All of it runs on the thread of one io_context.
class NodeProcess final : public admin::NodeControl {
public:
  /// Opens every listener and starts the recovery; fails with CannotListen.
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
  std::optional<base::Duration> externalAge() const override {
    return Fleet->externalAge();
  }
  void change(log::Record record, base::Duration timeout,
              std::function<void(admin::ChangeOutcome)> done) override;
  boost::json::value usage() const override;
  boost::json::value allotments() const override { return Shares.report(); }
  boost::json::value route(const admin::RouteQuestion &question) const override;
  boost::json::value quarantine() const override;
  bool liftQuarantine(uint64_t fingerprint) override;
  std::string recording(uint32_t seconds) const override;
  void drainSelf() override;

  /// Applies the settings that can change while the node runs; see
  /// admin::withLiveSettings.
  void settingsChanged(const admin::NodeSettings &settings);

  /// Sets \p done to be called once the graceful shutdown is complete.
  void whenDrained(std::function<void()> done) { OnDrained = std::move(done); }

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
  void hedgeMetrics();
  void storeMetrics();
  void foldAdvanced(const log::Fold &fold);
  void applyVersionFloor(const VersionNumbers &stored);
  void activateSnapshot();
  void activateHeldVersions();
  void externalChanged();
  void updateDrained(const log::Fold &fold);
  void membersChanged();
  void targetsChanged();
  std::string checkPathOf(std::string_view service) const;
  void armTimer();
  void tick();
  void recovered();
  void drainTick();
  void broadcast(std::string topic, std::string text, base::Duration lifetime);

  boost::asio::io_context *Context;
  admin::NodeSettings Settings;
  fleet::NodeIdentity Self;
  base::SystemClock Time;
  base::BootClock Elapsed;
  base::Metrics Counters;
  std::shared_ptr<http::MemoryLedger> Memory;
  std::shared_ptr<http::ConnectionBudget> Budget;
  uint64_t Seed;
  trace::RingRecorder Decisions;
  PlatformPorts Ports;
  std::unique_ptr<log::KeyedStore> Store;
  log::KeyedLog Platform;
  PlatformLink Link;
  HeldVersionStore StoredVersions;
  calls::Quarantine CrashQuarantine;
  QuarantineStore StoredQuarantines;
  QuarantineNotices Notices;
  admission::TargetLeases Leases;
  DepartureKeeper Departures;
  TargetHealthCheck HealthCheck;
  calls::Broker CallsBroker;
  RolloutKeeper Rollouts;
  admission::NodeGate CallsGate;
  UsageMeter Usage;
  NodeAllotments Shares;
  log::HeldVersions Held;
  ChangeSubmitter Changes;
  TargetListener Announcements;
  admin::Api Administration;
  admin::MetricsPage MetricsText;
  std::shared_ptr<peer::FleetRuntime> Fleet;
  std::shared_ptr<http::CallProxy> Proxy;
  std::shared_ptr<http::Server> AdministrationServer;
  std::shared_ptr<http::Server> TargetServer;
  std::shared_ptr<http::Server> MetricsServer; ///< Null: no address is set.
  boost::asio::steady_timer Timer;
  std::map<std::string, admin::HoldingSince, std::less<>> HeldSince;
  std::vector<std::string> DrainedNames;
  config::SnapshotPointer
      ActiveSnapshot;   ///< The held versions and the external one.
  size_t Conflicts = 0; ///< Between the versions in it.
  bool MembersDirty = false;
  bool Recovered = false;
  bool IsLoadingFloor = false; ///< The stored versions are being loaded.
  bool IsFloorApplied = false;
  bool IsStartRecorded = false;
  std::optional<base::TimePoint>
      StorePendingSince; ///< A change waits for the store.
  DrainPlan Draining;
  std::function<void()> OnDrained;
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
