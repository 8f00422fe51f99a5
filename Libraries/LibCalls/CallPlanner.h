#pragma once

#include <LibBalance/HedgeDelay.h>
#include <LibBalance/HedgePolicy.h>
#include <LibBalance/LoadBalancer.h>
#include <LibBalance/RelativeTime.h>
#include <LibBalance/SpilloverShare.h>
#include <LibBalance/TargetTable.h>
#include <LibBase/Random.h>
#include <LibCalls/CallBroker.h>
#include <LibCalls/ClientThrottle.h>
#include <LibCalls/PlacePreview.h>
#include <LibCalls/RetryBudget.h>
#include <LibRollout/VersionGate.h>
#include <LibTrace/Recorder.h>

#include <boost/container/static_vector.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishcross::calls {

/// A call whose route is known: the inputs of its plan.
struct RoutedCall {
  std::string ServiceName;
  config::Rank CallRank = config::Rank::Background;
  base::Duration Allowed{}; ///< Time left: of the route or the parent call.
  bool Idempotent = false;
  bool WithinRetry = false;
  uint32_t RetryBudgetPercent = 0;
  uint32_t MaximumAttempts = 3;      ///< Targets that it may be sent to.
  base::Duration LatencyObjective{}; ///< 0: none.
  std::string RouteName = {};        ///< For roll-outs and answer times.
  /// Made by a target while it runs another call, as that call's proof tells.
  bool IsNested = false;
};

/// Events of trace entries, with their numbers and text. Start: random seed,
/// ratio in permille, window and slack of retries, 1 if headroom is disabled;
/// text: data centre, region. Nodes: their number. Target: state (plus 16 times
/// the stated warm-up in milliseconds and 1; 0: not stated), slots, load,
/// epoch, whether its node is suspected, whether it is listed; text: node, data
/// centre, region, service, target. Drained: text: the names. Begin: handle,
/// rank, allowed time, flags (1 idempotent, 2 within a retry, 4 nested), budget
/// percent, latency objective; text: service. AttemptEnded: handle, end (plus
/// 256: a downstream call failed; plus 512 times the number of the attempt;
/// plus 65,536: the target answered that it failed; plus 131,072: the call is
/// nested; plus 262,144: the refusal is spurious), code, pressure (plus 2^20
/// times the expected time), latency, retry-after. End: handle. Hedge: handle.
/// Signalled: handle, number of the attempt, flags (see flagsOf()), the limit.
/// HedgeLimits: share and quantile in permille; text: for each service with a
/// share of its own its name and this share in permille, a line each.
/// VersionBounds: exposure in permille, slack, time to roll back.
/// RolloutOrdered: offset, period; text: service, version. RolloutLearned:
/// offset, offset of the order, state, step, age of the order then, time since
/// it was confirmed; text: service, version. RolloutHalted: offset of the
/// order; text: service. With bounds of versions, the text of Target has the
/// target's version as a further line; with them or with hedge limits, that of
/// Begin has the route. Times are in microseconds.
///
/// Outcome of Begin, AttemptEnded and Hedge: kind, outcome and code in one
/// number, the node's hash, the hedging delay or else the timeout, and
/// retry-after. Hedge: zeros if no attempt starts.
struct CallPlanEvent {
  /// Factor in trace entries for the warm-up beside a target's state.
  static constexpr int64_t StatesPerWarmUp = 16;
  enum Value : uint8_t {
    Start,
    Target,
    Drained,
    Begin,
    AttemptEnded,
    End,
    Tick,
    Nodes,
    Hedge,
    Signalled,
    VersionBounds,
    RolloutOrdered,
    RolloutLearned,
    RolloutHalted,
    HedgeLimits,
  };
};

/// Plans the attempts of calls: load balancing, timeouts, retries, hedging, and
/// the outcome reported to the caller.
class CallPlanner {
public:
  /// Time reserved at each hop, so that its answer reaches the caller before
  /// the caller's own deadline.
  static constexpr base::Duration HopMargin = std::chrono::milliseconds(2);
  /// How long nodes that are no longer seen still count.
  static constexpr base::Duration NodesRetention = std::chrono::seconds(30);
  /// Attempts of one call, of which at most one retry after bytes were sent.
  static constexpr uint32_t MaximumAttempts = 3;
  /// Factor in trace entries for the time beside a pressure.
  static constexpr int64_t PressuresPerMicrosecond = 1 << 20;

  CallPlanner(const balance::Locality &here, uint64_t randomSeed,
              trace::Recorder &recorder, const RetryLimits &retries = {},
              const balance::FeatureToggles &toggles = {});

  /// Plans the first attempt of call \p handle.
  CallStep begin(CallHandle handle, const RoutedCall &call,
                 base::TimePoint now);
  CallStep attemptEnded(CallHandle handle, const AttemptResult &result,
                        base::TimePoint now);

  /// Returns what begin() would decide for \p call now. Changes nothing: the
  /// decisions run on copies of the state that they change.
  PlacePreview preview(const RoutedCall &call, base::TimePoint now) const;

  /// Applies what a target states about itself on the answer to an attempt in
  /// flight; attemptEnded() does so with AttemptResult::Signals.
  void signalled(CallHandle handle, uint32_t attemptNumber,
                 const balance::TargetSignals &signals, base::TimePoint now);
  /// See CallBroker::hedge.
  std::optional<CallStep> hedge(CallHandle handle, base::TimePoint now);
  void end(CallHandle handle, base::TimePoint now);

  void membersChanged(const std::vector<fleet::Member> &members,
                      base::TimePoint now);

  /// Begins to hedge slow calls within these limits.
  void limitHedges(const balance::HedgeSettings &settings);

  /// Returns what became of the hedges of slow calls, by service.
  std::map<std::string, balance::HedgeCounts> hedgeCounts() const;

  /// Begins to place calls by the versions of targets.
  void boundVersions(const rollout::Bounds &bounds);

  /// Apply an order and the state of a roll-out, and stop its new version; see
  /// rollout::VersionGate. The first two return whether this is news.
  bool rolloutOrdered(const rollout::Order &order, base::TimePoint now);
  bool rolloutLearned(const std::string &service,
                      const rollout::StoredProgress &progress,
                      base::Duration age, base::TimePoint now);
  void rolloutHalted(const std::string &service, uint64_t orderAt,
                     base::TimePoint now);

  /// The gates of the services that have one, by name.
  using VersionGates = std::map<std::string, rollout::VersionGate, std::less<>>;
  VersionGates &versionGates() { return Gates; }

  /// A new version that this node has stopped by its own evidence.
  struct VersionCut {
    std::string Service;
    rollout::Finding Why;
  };
  std::vector<VersionCut> takeVersionCuts();

  /// Sets the number of nodes that share the retry slack. The recent maximum
  /// counts, so that nodes in a network partition don't spend all of it.
  void nodesChanged(int64_t nodes, base::TimePoint now);
  void drainedChanged(const std::vector<std::string> &drained,
                      base::TimePoint now);
  void tick(base::TimePoint now);

  /// Returns, for each service, the number of retries that its critical calls
  /// have left now.
  std::vector<std::pair<std::string, int64_t>> retriesLeft(base::TimePoint now);

  /// Encodes a step as the outcome of a trace entry.
  static trace::Outcome outcomeOf(const CallStep &step);

private:
  /// One attempt in flight.
  struct ActiveAttempt {
    uint32_t Attempt = 0;
    uint64_t Target = 0;
    bool OnNewConnection = false;
    base::Duration Timeout{};
    base::TimePoint SentAt{};
    uint64_t Epoch = 0; ///< Of the target when the attempt was sent.
    /// Relative time of the target when the attempt was sent.
    int64_t TimePermille = balance::RelativeTime::UsualPermille;
  };
  /// The hedge of a call that is late; see balance::HedgePolicy.
  struct LateHedge {
    base::Duration After{}; ///< 0: the first attempt never counts as late.
    bool IsLate = false;    ///< The first attempt was in flight after that.
    uint32_t Attempt = 0;   ///< Number of the hedge; 0: none has started.
    bool IsSettled = false; ///< Won or lost.
  };
  struct PlannedCall {
    RoutedCall Route;
    base::TimePoint Deadline{};
    /// Oldest first.
    boost::container::static_vector<ActiveAttempt, MaximumAttempts>
        ActiveAttempts;
    uint64_t LastTarget = 0; ///< 0: none yet.
    uint32_t Attempts = 0;
    uint32_t TargetArrivals = 0; ///< Ended attempts that reached a target.
    bool MayHaveRun = false;
    bool Retried = false;        ///< Retried after bytes had been sent.
    bool HasFailure = false;     ///< A target has answered that it failed.
    base::Duration HedgeAfter{}; ///< 0: the first attempt is not hedged.
    LateHedge Late;
    StopReason Stop = StopReason::None; ///< Why the last send() sent nothing.

    /// Returns the number of attempts that reached a target or still may.
    uint32_t attemptsAtTargets() const {
      return TargetArrivals + static_cast<uint32_t>(ActiveAttempts.size());
    }
  };
  struct ServiceState {
    RetryBudget Budget;
    ClientThrottle Throttle;
    balance::SpilloverShare Spillover;
    balance::SpilloverShare NewVersionSpillover;
    balance::HedgeDelay Hedging;
    balance::ServiceTimes Times;
    /// Rank and latency objective of the calls that the targets' nodes told to
    /// be nested. At most MaximumNestedKinds.
    std::set<std::pair<config::Rank, base::Duration>> NestedKinds;
  };

  static void learnNested(ServiceState &service, const RoutedCall &route,
                          const AttemptResult &result);
  static bool isNested(const ServiceState &service, const RoutedCall &route);
  /// Returns the refusal of a call for which there is no target.
  static CallStep noTarget();
  static std::optional<CallStep> refusedAtOnce(ServiceState &service,
                                               const RoutedCall &route,
                                               base::TimePoint now,
                                               base::Random &random);
  CallStep planFirst(PlannedCall &call, base::TimePoint now);
  CallStep planNext(PlannedCall &call, const AttemptResult &result,
                    base::TimePoint now);
  void settleWithOthers(PlannedCall &call, const ActiveAttempt &ended,
                        const AttemptResult &result, CallStep &step,
                        base::TimePoint now);
  CallStep afterRefusal(PlannedCall &call, const AttemptResult &result,
                        base::TimePoint now);
  CallStep afterUnknownOutcome(PlannedCall &call, const AttemptResult &result,
                               base::TimePoint now);
  StopReason retryRefusal(const PlannedCall &call, base::TimePoint now);
  bool isTooLate(const PlannedCall &call, base::TimePoint now);
  bool mayHedge(const PlannedCall &call, base::TimePoint now);
  int64_t recentNodes(base::TimePoint now);
  std::optional<CallStep> send(PlannedCall &call, bool retry,
                               base::TimePoint now);
  CallStep sendTo(PlannedCall &call, balance::KnownTarget &target, bool retry,
                  base::TimePoint now);
  using Excluded = balance::LoadBalancer::Excluded;
  balance::KnownTarget *chooseTarget(const PlannedCall &call, Excluded excluded,
                                     base::TimePoint now);
  /// What the choice of a target changes.
  struct ChoiceState {
    balance::SpilloverShare *Spillover = nullptr;
    balance::SpilloverShare *NewVersionSpillover = nullptr;
    rollout::VersionGate *Gate = nullptr; ///< Null: the service has none.
    base::Random *Randomness = nullptr;
  };
  balance::KnownTarget *chooseWith(const ChoiceState &state,
                                   const std::string &service,
                                   Excluded excluded,
                                   base::TimePoint now) const;
  balance::KnownTarget *chooseByVersion(const ChoiceState &state,
                                        const std::string &service,
                                        Excluded excluded,
                                        base::TimePoint now) const;
  struct VersionTargets {
    balance::TargetTable::Targets Old;
    balance::TargetTable::Targets New;
  };
  VersionTargets targetsByVersion(const rollout::VersionGate &gate,
                                  const std::string &service,
                                  base::TimePoint now) const;
  CandidatePreview candidatePreview(const balance::KnownTarget &target,
                                    const rollout::VersionGate *gate,
                                    std::optional<base::Duration> meanTime,
                                    base::TimePoint now) const;
  void listVersions(base::TimePoint now);
  void noteVersionAnswer(const PlannedCall &call, const ActiveAttempt &attempt,
                         const balance::KnownTarget &target,
                         const AttemptResult &result, base::TimePoint now);
  rollout::VersionGate &gateOf(const std::string &service);
  static ChoiceBasis basisOf(const balance::TargetTable::Targets &targets,
                             const balance::KnownTarget &chosen,
                             base::TimePoint now);
  base::Duration hedgeAfter(const PlannedCall &call, bool retry,
                            base::TimePoint now);
  bool isHedgedWhenLate(const PlannedCall &call, bool retry);
  base::Duration lateAfter(PlannedCall &call, bool retry, base::TimePoint now);
  static bool isSilenceDue(const PlannedCall &call, base::TimePoint now);
  static bool isRacing(const PlannedCall &call);
  std::optional<CallStep> hedgeLate(PlannedCall &call, base::TimePoint now);
  balance::HedgeRefusal lateHedgeRefusal(const PlannedCall &call,
                                         base::TimePoint now);
  balance::TargetTable::Targets spareTargets(const PlannedCall &call,
                                             base::TimePoint now);
  balance::HedgeRefusal removeLater(const PlannedCall &call,
                                    balance::TargetTable::Targets &targets,
                                    base::TimePoint now);
  bool isAtNewVersion(const PlannedCall &call, base::TimePoint now);
  void noteAnswerTime(const PlannedCall &call, const ActiveAttempt &attempt,
                      const AttemptResult &result, base::TimePoint now);
  AttemptEnd dropAs(PlannedCall &call, const ActiveAttempt &attempt,
                    uint32_t answered, base::TimePoint now);
  void settleLateHedge(PlannedCall &call, uint32_t answered);
  static ActiveAttempt *findActiveAttempt(PlannedCall &call,
                                          uint32_t attemptNumber);
  static std::optional<ActiveAttempt> takeActiveAttempt(PlannedCall &call,
                                                        uint32_t attemptNumber);
  void dropActiveAttempts(PlannedCall &call, uint32_t answered,
                          base::TimePoint now);
  void recordAttempt(const PlannedCall &call, const ActiveAttempt &attempt,
                     const AttemptResult &result, base::TimePoint now);
  ServiceState &stateOf(const PlannedCall &call);
  void recordEvent(CallPlanEvent::Value event, const trace::Inputs &numbers,
                   std::string text, const trace::Outcome &decided,
                   base::TimePoint now);
  void recordTarget(const balance::KnownTarget &target, base::TimePoint now);

  balance::TargetTable Table;
  balance::LoadBalancer Balancer;
  base::Random Randomness;
  trace::Recorder *Record;
  std::unordered_map<CallHandle, PlannedCall> Calls;
  std::map<std::string, ServiceState, std::less<>> Services;
  std::optional<rollout::Bounds> VersionBounds;
  uint64_t GateSeed;
  VersionGates Gates;
  std::vector<VersionCut> VersionCuts;
  RetryLimits Retries;
  balance::HedgePolicy LateHedges;
  int64_t Nodes = 0;
  int64_t RecentMaximumNodes = 0; ///< Lately.
  base::TimePoint RecentMaximumAt{};
};

} // namespace radishcross::calls
