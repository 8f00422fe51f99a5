#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Metrics.h>
#include <LibCalls/Broker.h>
#include <LibLog/KeyedStore.h>
#include <LibNode/PlatformPorts.h>
#include <LibNode/RolloutNotices.h>
#include <LibPeer/FleetRuntime.h>
#include <LibRollout/RolloutDecider.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::node {

/// Performs the I/O of LibRollout at one node: reads orders, keeps the states
/// in the store while this node decides, and exchanges notices with the other
/// nodes. Without bounds it does nothing.
class RolloutKeeper {
public:
  /// Time between a node's reports, and the least time between them while bad
  /// answers arrive.
  static constexpr base::Duration ReportInterval =
      std::chrono::milliseconds(500);
  static constexpr base::Duration UrgentReportInterval =
      std::chrono::milliseconds(200);
  /// Added to ReportInterval for each node, so that the reports to one decider
  /// take a bounded part of its link.
  static constexpr base::Duration ReportIntervalPerNode =
      std::chrono::milliseconds(8);
  /// Time without a state after which the decider is told the order: it may
  /// have been restarted since.
  static constexpr base::Duration SilenceTime = std::chrono::milliseconds(1500);
  /// How long a final state is told to nodes that join.
  static constexpr base::Duration FinalTellTime = std::chrono::minutes(1);

  RolloutKeeper(std::optional<rollout::Bounds> bounds, log::KeyedStore &store,
                const PlatformPorts &ports, calls::Broker &broker,
                base::Metrics &metrics, std::string node, uint64_t boot);

  /// Applies a record of the operator's topic; others than orders are ignored.
  void orderRead(const log::KeyedRecord &record, base::TimePoint now);

  /// Applies a notice of another node; other notices are ignored. \p from is
  /// set for a notice to this node alone.
  void received(std::string_view topic, std::string_view text,
                const fleet::NodeId &from, base::TimePoint now);

  void tick(peer::FleetRuntime &fleet, base::TimePoint now);

private:
  struct Service {
    explicit Service(const rollout::Bounds &bounds) : Decider(bounds) {}
    rollout::RolloutDecider Decider;
    rollout::Order Order;
    bool IsDecider = false;
    base::TimePoint ReportedAt{};
    uint64_t ReportedBad = 0;
    base::TimePoint HeardAt{}; ///< When a state was told last.
    std::optional<base::TimePoint> FinalSince;
    uint64_t LoggedOffset = UINT64_MAX; ///< Of the last move logged.
  };

  bool takeOrder(const rollout::Order &order, std::string_view source,
                 base::TimePoint now);
  void learn(const std::string &service,
             const rollout::StoredProgress &progress, base::Duration age,
             base::TimePoint now);
  void halt(const std::string &service, uint64_t orderAt, base::TimePoint now);
  void run(const std::string &name, Service &service,
           const rollout::Action &action, peer::FleetRuntime &fleet,
           base::TimePoint now);
  void read(const std::string &name);
  void write(const std::string &name, const rollout::Action &action);
  void report(const std::string &name, Service &service,
              const std::string &decider, size_t nodes,
              peer::FleetRuntime &fleet, base::TimePoint now);
  void logMove(const std::string &name, Service &service);
  void logCuts();
  static void broadcast(peer::FleetRuntime &fleet, const RolloutNotice &notice,
                        base::Duration lifetime);

  std::optional<rollout::Bounds> Bounds;
  log::KeyedStore *Store;
  const PlatformPorts *Ports;
  calls::Broker *Calls;
  base::Metrics *Counters;
  std::string Node;
  uint64_t Boot;
  std::map<std::string, Service, std::less<>> Services;
  std::vector<rollout::Order> OrdersToTell;
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
