#pragma once

#include <LibAdmission/AdaptiveLimit.h>
#include <LibAdmission/AdmissionGate.h>
#include <LibAdmission/RankDemand.h>
#include <LibAdmission/RankQueue.h>
#include <LibAdmission/RankScheduler.h>
#include <LibAdmission/RateLimiter.h>
#include <LibAdmission/SlotTimes.h>
#include <LibBalance/RefusalJudge.h>
#include <LibBalance/StatedLimit.h>
#include <LibBalance/TimeEstimate.h>
#include <LibBase/Clock.h>
#include <LibConfig/Resources.h>
#include <LibFleet/Member.h>
#include <LibTrace/Recorder.h>

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishcross::admission {

/// Settings of one target's gate.
struct TargetGateSettings {
  fleet::TargetState State = fleet::TargetState::Starting;
  uint32_t Slots = 1;
  uint32_t Connections = 1;
  config::ServiceLimits Limits;
};

/// Events of trace entries; the text is the target. Configure: slots,
/// connections, state, queue length, floors of standard and background.
/// Arrive: ticket, rank, remaining microseconds, latency objective, flags (1
/// nested, 2 can go elsewhere), time on the link; outcome: kind, code,
/// retry-after. Ended: ticket, end, kind of refusal, time spent waiting for the
/// reader, pace in percent (0: none). Abandoned: ticket. Outcome of Ended and
/// Tick: the number of answers, the sum of their tickets, the limit. Signalled:
/// ticket, flags (see flagsOf()), the limit; outcome: 1 if it has changed.
/// ProcessChanged: none. Reported: the limit.
struct AdmissionEvent {
  enum Value : uint8_t {
    Configure,
    Arrive,
    Ended,
    Abandoned,
    Tick,
    Signalled,
    ProcessChanged,
    Reported,
  };
};

/// Admission control for one target: slots scheduled by rank with floors, a
/// bounded queue, a limit adapted to the observed latency, and the rate limit
/// that the target states. Every call that is sent to the target has passed
/// here, so the gate keeps that limit for all callers.
class TargetGate {
public:
  TargetGate(std::string targetId, trace::Recorder &recorder);

  /// Sets the target's state and limits. If the target no longer accepts calls,
  /// all queued calls are refused; the next tick() returns those answers.
  void configure(const TargetGateSettings &settings, base::TimePoint now);

  /// A call with \p isNested belongs to work that holds slots elsewhere and is
  /// lost with it, so it goes before new work and may wait for as long as its
  /// deadline allows, whatever its own rank and objective. \p canGoElsewhere:
  /// see Arrival; a nested call doesn't wait then.
  GateAnswer arrive(Ticket call, config::Rank rank, base::Duration remaining,
                    uint64_t fingerprint, base::TimePoint now,
                    base::Duration objective = {}, bool isNested = false,
                    base::Duration linkTime = {}, bool canGoElsewhere = false);
  /// Applies the rate limit stated on the answer to a running call; returns
  /// whether it has changed.
  bool signalled(Ticket call, const balance::TargetSignals &signals,
                 base::TimePoint now);

  /// Applies the rate limit that a caller's node knows, until the target's
  /// process has answered a call of this node's process.
  void reported(balance::MilliRate rate, base::TimePoint now);
  /// Judges a refusal by the target; see AdmissionGate::judgeRefusal().
  balance::RefusalKind
  judgeRefusal(const std::optional<balance::TargetLoad> &load,
               base::TimePoint now) {
    return Refusals.refused(load, Running.size(), now);
  }
  /// Ends a running call; \p refusal counts if the target refused it. The time
  /// for which it waited for the reader of its answer is not the target's. \p
  /// pacePercent is the pace that the target stated, see balance::TargetLoad.
  std::vector<GateAnswer>
  ended(Ticket call, calls::AttemptEnd end, base::TimePoint now,
        balance::RefusalKind refusal = balance::RefusalKind::Full,
        base::Duration awaitedReader = {},
        std::optional<uint32_t> pacePercent = {});

  /// Records that another process of the target has taken over: its limit is
  /// not known.
  void processChanged(base::TimePoint now);
  void abandoned(Ticket call, base::TimePoint now);
  std::vector<GateAnswer> tick(base::TimePoint now);

  /// Encodes answers as the outcome of a trace entry.
  trace::Outcome summaryOf(const std::vector<GateAnswer> &answers) const;

  uint32_t pressurePermille(base::TimePoint now) const;
  uint32_t limit() const;
  /// Returns the current occupancy of the gate.
  GateView view(base::TimePoint now) const;
  size_t running() const { return Running.size(); }
  size_t inFlight() const { return Running.size() + Queue.size(); }
  std::vector<uint64_t> runningFingerprints() const;
  /// Returns the fingerprint of a running call, or 0.
  uint64_t fingerprintOf(Ticket call) const;

private:
  struct RunningCall {
    config::Rank CallRank = config::Rank::Background;
    base::Duration LatencyObjective{};
    uint64_t Fingerprint = 0;
    base::TimePoint StartedAt{};
    base::Duration Charged{};
    bool Saturated = false;
    std::optional<uint32_t> PacePercent; ///< Stated when it started.
  };
  GateAnswer decideArrival(const WaitingCall &call, base::Duration remaining,
                           base::TimePoint now);
  GateAnswer decideQueueing(const WaitingCall &call, base::Duration remaining,
                            base::TimePoint now);
  bool mayStart(const WaitingCall &call, base::TimePoint now) const;
  bool isBehindOthers(const WaitingCall &call) const;
  uint32_t reservedSlots(config::Rank rank, base::TimePoint now) const;
  bool hasToken(const WaitingCall &call, base::TimePoint now) const;
  uint32_t reservedTokens(const WaitingCall &call, base::TimePoint now) const;
  bool isUrgentCallWaiting(config::Rank rank) const;
  GateAnswer enqueue(const WaitingCall &call);
  void start(const WaitingCall &call, base::TimePoint now);
  void finish(const RunningCall &call, calls::AttemptEnd end,
              balance::RefusalKind refusal, base::TimePoint now);
  void fillSlots(base::TimePoint now);
  void refuseExpired(base::TimePoint now);
  GateAnswer refusal(Ticket call, base::ResultCode code,
                     RefusalCause why) const;
  balance::TimeEstimate estimateFor(const WaitingCall &call,
                                    base::TimePoint now) const;
  base::Duration retryAfter() const;
  base::Duration overloadPatienceOf(config::Rank rank,
                                    base::TimePoint now) const;
  std::vector<GateAnswer> takeAnswers();
  void recordEvent(AdmissionEvent::Value event, const trace::Inputs &numbers,
                   const trace::Outcome &decided, base::TimePoint now);

  std::string TargetId;
  trace::Recorder *Record;
  TargetGateSettings Settings;
  AdaptiveLimit Adaptive;
  RankScheduler Scheduler;
  RankQueue Queue;
  balance::StatedLimit Stated;
  balance::RefusalJudge Refusals;
  RateLimiter Limiter;
  std::unordered_map<Ticket, RunningCall> Running;
  std::deque<base::TimePoint> RecentStarts;
  std::vector<GateAnswer> Answers; ///< For queued calls; not yet returned.
  SlotTimes Times;
  RankDemand Demand;
};

} // namespace radishcross::admission
