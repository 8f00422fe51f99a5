#pragma once

#include <LibBalance/FeatureToggles.h>
#include <LibBase/Random.h>
#include <LibCalls/CallBroker.h>
#include <LibCalls/CallPlanner.h>
#include <LibCalls/Quarantine.h>
#include <LibCalls/RetryBudget.h>
#include <LibCalls/RoutePreview.h>
#include <LibFleet/Member.h>
#include <LibTrace/Recorder.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::calls {

/// Settings of a node's broker.
struct BrokerSettings {
  fleet::NodeId Node;
  std::string DataCentre;
  std::string Region;
  uint64_t RandomSeed = 0;
  /// How long the answers of idempotency keys are stored and duplicates are
  /// detected.
  base::Duration KeyWindow = std::chrono::minutes(1);
  RetryLimits Retries = {};
  balance::FeatureToggles Toggles = {};
  /// Calls are placed by the versions of targets within these bounds.
  std::optional<rollout::Bounds> Versions = {};
  balance::HedgeSettings Hedges = {};
};

/// The broker of one node; see CallBroker.
class Broker final : public CallBroker {
public:
  Broker(BrokerSettings settings, Quarantine &quarantine,
         trace::Recorder &recorder);
  ~Broker() override;

  CallHandle begin(const CallRequest &request, config::SnapshotPointer snapshot,
                   base::TimePoint now) override;
  CallStep step(CallHandle call) const override;
  CallStep attemptEnded(CallHandle call, const AttemptResult &result,
                        base::TimePoint now) override;
  std::optional<CallStep> hedge(CallHandle call, base::TimePoint now) override;
  void end(CallHandle call, base::TimePoint now) override;
  void storeAnswer(CallHandle call, std::string &&answer,
                   base::TimePoint now) override;
  std::string storedAnswer(CallHandle call) const override;
  void setOnResumed(const Resumed &resumed) override;

  /// Updates the targets from the fleet's members.
  void membersChanged(const std::vector<fleet::Member> &members,
                      base::TimePoint now);

  /// Sets the drained services and VMs, as "service:NAME" and "vm:NODE".
  void drainedChanged(const std::vector<std::string> &drained,
                      base::TimePoint now);

  /// See CallPlanner.
  bool rolloutOrdered(const rollout::Order &order, base::TimePoint now);
  bool rolloutLearned(const std::string &service,
                      const rollout::StoredProgress &progress,
                      base::Duration age, base::TimePoint now);
  void rolloutHalted(const std::string &service, uint64_t orderAt,
                     base::TimePoint now);
  std::map<std::string, rollout::VersionGate, std::less<>> &versionGates();
  std::vector<CallPlanner::VersionCut> takeVersionCuts();

  /// States that the fleet had no configuration when this node recovered, so no
  /// call can have run before. Otherwise a node answers calls with an
  /// idempotency key that it owns as unknown until the window has passed.
  void assumeNoEarlierCalls(base::TimePoint now);

  /// Returns what would become of a request now, without its idempotency key.
  /// Nothing is counted, recorded or changed. \p snapshot may be null; else the
  /// result refers to it.
  RoutePreview preview(const CallRequest &request,
                       const config::SnapshotPointer &snapshot,
                       base::TimePoint now) const;

  /// Returns, for each service called from this node, the number of retries
  /// that its critical calls have left now.
  std::vector<std::pair<std::string, int64_t>> retriesLeft(base::TimePoint now);

  /// See CallPlanner.
  std::map<std::string, balance::HedgeCounts> hedgeCounts() const;

  /// Runs the periodic work: ends ejections of targets, expires idempotency
  /// keys, and answers calls that have waited too long. Must be called at least
  /// once a second.
  void tick(base::TimePoint now);

private:
  struct State;
  std::unique_ptr<State> Held;
};

} // namespace radishcross::calls
