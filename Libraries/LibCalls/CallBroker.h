#pragma once

#include <LibBalance/RefusalKind.h>
#include <LibBalance/TargetCandidate.h>
#include <LibBalance/TargetSignals.h>
#include <LibBase/Clock.h>
#include <LibCalls/CallTypes.h>
#include <LibCalls/ChoiceBasis.h>
#include <LibConfig/Snapshot.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace radishcross::calls {

/// One request as the caller's node sees it, before it is routed.
struct CallRequest {
  std::string CallId;
  std::string Method;
  std::string Host;
  std::string Path;
  std::string IdempotencyKey; ///< Empty when the caller gave none.
  std::string CallerService;  ///< Of the VM where it originated, if known.
  uint64_t Fingerprint = 0;   ///< Hash of caller, method, path and body.
  bool FromMesh = false;      ///< Forwarded by another node.
  std::string Tenant;         ///< That asks; empty: none.
  /// Of the tenant; goes before the rank of the route.
  std::optional<config::Rank> TenantRank;
  config::Rank ParentRank = config::Rank::Critical;
  uint32_t Hops = 0; ///< Upstream calls in the chain.
  /// Time left until the caller's deadline; 0: only the route's deadline
  /// applies; negative: the deadline has passed.
  base::Duration Remaining{};
  /// The parent call is itself a retry (its AttemptHeader was above 0). Calls
  /// within a retry are not retried, so that retries do not multiply along a
  /// chain.
  bool WithinRetry = false;
};

/// How one attempt at a target ended.
enum class AttemptEnd : uint8_t {
  Answered,      ///< The complete answer was received.
  NotSent,       ///< No byte of the request was sent.
  RefusedNotRun, ///< The target or its node refused the call; it was not run.
  Broken,        ///< The connection failed after bytes had been sent.
  TimedOut,      ///< No answer in time after bytes had been sent.
  CallerGone,    ///< The caller disconnected; the attempt was abandoned.
  Superseded,    ///< Another attempt of the call was answered first.
};

constexpr base::EnumName<AttemptEnd> AttemptEndNames[] = {
    {AttemptEnd::Answered, "answered"},
    {AttemptEnd::NotSent, "not-sent"},
    {AttemptEnd::RefusedNotRun, "refused"},
    {AttemptEnd::Broken, "broken"},
    {AttemptEnd::TimedOut, "timed-out"},
    {AttemptEnd::CallerGone, "client-gone"},
    {AttemptEnd::Superseded, "superseded"},
};

/// Result of one attempt.
struct AttemptResult {
  uint32_t Attempt = 0; ///< CallStep::Attempt; 0: the oldest in flight.
  AttemptEnd End = AttemptEnd::NotSent;
  base::ResultCode Code = base::ResultCode::Ok;
  uint32_t PressurePermille = 0; ///< Of the target, reported by its node.
  /// Mean time of such calls at the target, reported by its node; 0: unknown.
  base::Duration ExpectedTime{};
  base::Duration Latency{};
  /// Of an answer that was passed on while it was read: the time for which its
  /// reader was waited for.
  base::Duration AwaitedReader{};
  /// Time after which a refused caller may retry, given by the target's node.
  base::Duration RetryAfter{};
  /// The answering node marked (AttemptHeader on its answer) that a downstream
  /// call of this one failed and was already handled there: no retry here.
  bool DownstreamFailed = false;
  bool TargetFailed = false; ///< The target answered with status 500 or above.
  /// The target's node knows the call as nested: the work above it is lost with
  /// it.
  bool IsNested = false;
  /// Why the target refused the call, as its node judges; only with the code
  /// TargetRefused.
  balance::RefusalKind Refusal = balance::RefusalKind::Full;
  /// What the target states on its answer; nothing without an answer of its
  /// own.
  std::optional<balance::TargetSignals> Signals;
};

/// Next step that the HTTP layer has to carry out for a call.
struct CallStep {
  enum class Kind : uint8_t {
    Send,    ///< Send the request to To.
    Forward, ///< Forward the call to the idempotency key's owner at To.
    Wait,    ///< The first call of the key is running; its end resolves this.
    Finish,  ///< Answer the caller with Code, Outcome and RetryAfter.
    Replay,  ///< Answer with the stored answer of the idempotency key.
    Await,   ///< Another attempt of the call is in flight; its end decides.
  };
  Kind What = Kind::Finish;
  balance::TargetCandidate To;
  std::string ServiceName;
  config::Rank CallRank = config::Rank::Background;
  /// Covers connecting and the complete answer. Counted from when the step was
  /// returned; once it has passed nothing is sent, even if the process was
  /// paused meanwhile.
  base::Duration AttemptTimeout{};
  uint32_t Attempt = 0; ///< Of a Send: number of the attempt, from 1.
  /// Interval at which to call hedge() until it returns a step; 0: never.
  base::Duration HedgeAfter{};
  base::Duration Remaining{};        ///< Time left, passed to the next hop.
  base::Duration LatencyObjective{}; ///< Of the route; 0: none.
  /// The target's rate limit, if this node knows one from its answers.
  std::optional<balance::MilliRate> StatedRate;
  /// Another target will be asked if the target's node refuses.
  bool CanGoElsewhere = false;
  /// Open a new connection to the node of To and close its idle connections.
  bool FreshConnection = false;
  /// The attempt is a retry or part of one: AttemptHeader is above 0.
  bool Retry = false;
  HedgeCause Hedge = HedgeCause::None;
  /// Pass the complete answer to storeAnswer() before attemptEnded(Answered).
  /// The attempt continues when the caller disconnects, because a duplicate of
  /// the call gets this answer.
  bool StoreAnswer = false;
  CallOutcome Outcome = CallOutcome::NotRun;
  base::ResultCode Code = base::ResultCode::Ok;
  base::Duration RetryAfter{}; ///< Time after which the caller may retry.
  /// For the log: the data on which Send was decided; why there is no further
  /// attempt after Finish, and how many retries the service's calls of this
  /// rank had left then.
  ChoiceBasis Basis;
  const config::Route *Matched =
      nullptr; ///< Set in the first step; owned by the snapshot.
  StopReason Stop = StopReason::None;
  int64_t RetriesLeft = 0;
};

/// Identifies a call inside one broker.
using CallHandle = uint64_t;

/// Decisions at the caller's node: routing, rank, deadline, load balancing,
/// retries and idempotency keys. Does no I/O; the HTTP layer carries out the
/// steps.
class CallBroker {
public:
  virtual ~CallBroker() = default;

  /// Starts a call. It uses \p snapshot until its end.
  virtual CallHandle begin(const CallRequest &request,
                           config::SnapshotPointer snapshot,
                           base::TimePoint now) = 0;

  /// Returns the current step of the call.
  virtual CallStep step(CallHandle call) const = 0;

  /// Reports the end of an attempt started by a Send or Forward. Returns the
  /// next step. Answered leads to a Finish with Outcome Answered, whatever else
  /// is in flight.
  virtual CallStep attemptEnded(CallHandle call, const AttemptResult &result,
                                base::TimePoint now) = 0;

  /// Requests a hedged attempt, HedgeAfter after the first has started. Returns
  /// its Send, or nothing when the first attempt continues alone.
  virtual std::optional<CallStep> hedge(CallHandle call,
                                        base::TimePoint now) = 0;

  /// Removes the call after its Finish, or after the caller has disconnected.
  virtual void end(CallHandle call, base::TimePoint now) = 0;

  /// Stores the complete answer, in the HTTP layer's own format, of a call
  /// whose Send has StoreAnswer. Must be called before attemptEnded(Answered).
  /// When the answer is not stored or too large, duplicates end as unknown.
  virtual void storeAnswer(CallHandle, std::string &&, base::TimePoint) {}

  /// Returns the stored answer for a Replay step.
  virtual std::string storedAnswer(CallHandle) const { return {}; }

  /// Sets the callback for calls in Wait that get their next step: Replay, Send
  /// or Finish. It is called from inside attemptEnded(), end() or tick(); the
  /// HTTP layer carries the step out later.
  using Resumed = std::function<void(CallHandle, const CallStep &)>;
  virtual void setOnResumed(const Resumed &) {}
};

} // namespace radishcross::calls
