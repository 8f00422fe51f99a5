#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/CallTypes.h>
#include <LibCalls/ChoiceBasis.h>
#include <LibCalls/TargetCandidate.h>
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
  uint64_t Fingerprint = 0;   ///< Hash of method, path and body.
  bool FromMesh = false;      ///< Forwarded here by another node.
  config::Rank ParentRank = config::Rank::Critical;
  uint32_t Hops = 0; ///< Calls above this one in the chain.
  /// Deadline left; 0: the route's alone; below 0: it has passed.
  base::Duration Remaining{};
  /// The call above is itself a retry (its AttemptHeader was above 0): nothing
  /// below it is retried, so that retries do not multiply along a chain.
  bool WithinRetry = false;
};

/// How one attempt to run a call at a target ended.
enum class AttemptEnd : uint8_t {
  Answered,      ///< The whole answer arrived.
  NotSent,       ///< No byte of the request went out.
  RefusedNotRun, ///< The target's node or the target said it was not run.
  Broken,        ///< The connection failed after bytes had been sent.
  TimedOut,      ///< No answer in time after bytes had been sent.
  CallerGone,    ///< The caller went away; the attempt was abandoned.
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

struct AttemptResult {
  uint32_t Attempt = 0; ///< CallStep::Attempt; 0: the oldest in flight.
  AttemptEnd End = AttemptEnd::NotSent;
  base::ResultCode Code = base::ResultCode::Ok;
  uint32_t PressurePermille = 0; ///< Of the target, as its node reported it.
  base::Duration Latency{};
  /// When a refused caller may come back, as the target's node told it.
  base::Duration RetryAfter{};
  /// The answering node marked (AttemptHeader on its answer) that a call made
  /// while running this one failed and was dealt with there: no retry here.
  bool DownstreamFailed = false;
  bool TargetFailed = false; ///< The target answered with a status from 500 on.
};

/// What to do next for a call.
struct CallStep {
  enum class Kind : uint8_t {
    Send,    ///< Send the request to To.
    Forward, ///< Let the idempotency key's owner at To run the call.
    Wait,    ///< An equal call runs; its end resolves this one.
    Finish,  ///< Tell the caller Code and Outcome; come back after RetryAfter.
    Replay,  ///< Answer with the kept answer of the idempotency key.
    Await,   ///< Another attempt of the call is in flight; its end decides.
  };
  Kind What = Kind::Finish;
  TargetCandidate To;
  std::string ServiceName;
  config::Rank CallRank = config::Rank::Background;
  /// For connecting and the whole answer. Nothing is sent any more once it has
  /// passed since the step was given, also after a pause of the process.
  base::Duration AttemptTimeout{};
  uint32_t Attempt = 0; ///< Of a Send: its number in the call, from 1.
  /// When to ask hedge(), and again each time after it refused; 0: never.
  base::Duration HedgeAfter{};
  base::Duration Remaining{};        ///< Deadline left, for the next hop.
  base::Duration LatencyObjective{}; ///< Of the route; 0: none is stated.
  /// Open a new connection to the node of To and close the idle ones to it.
  bool FreshConnection = false;
  /// The attempt is a retry, or below one: AttemptHeader is above 0.
  bool Retry = false;
  /// Hand the whole answer to keepAnswer() before attemptEnded(Answered). The
  /// attempt goes on when the caller goes away: its resend gets this answer.
  bool KeepAnswer = false;
  CallOutcome Outcome = CallOutcome::NotRun;
  base::ResultCode Code = base::ResultCode::Ok;
  base::Duration RetryAfter{}; ///< When a refused caller may come back.
  /// For the log: what Send was decided on; why Finish is no further attempt,
  /// and how many retries the service's calls of this rank had left then.
  ChoiceBasis Basis;
  const config::Route *Matched =
      nullptr; ///< The first step's; of the snapshot.
  StopReason Stop = StopReason::None;
  int64_t RetriesLeft = 0;
};

/// Identifies a call inside one broker.
using CallHandle = uint64_t;

/// The decisions of the caller's node: route, rank, deadline, choice of target,
/// retries, idempotency keys. Without I/O; the HTTP shell carries out steps.
class CallBroker {
public:
  virtual ~CallBroker() = default;

  /// Starts a call under \p snapshot, which it keeps until the end.
  virtual CallHandle begin(const CallRequest &request,
                           config::SnapshotPointer snapshot,
                           base::TimePoint now) = 0;

  /// Returns the step that the call now needs.
  virtual CallStep step(CallHandle call) const = 0;

  /// Reports the end of an attempt that a Send or Forward asked for. Returns
  /// the next step. Answered ends in a Finish with Outcome Answered, whatever
  /// else is in flight.
  virtual CallStep attemptEnded(CallHandle call, const AttemptResult &result,
                                base::TimePoint now) = 0;

  /// Asks, HedgeAfter into the attempt, for a second one beside it. Returns its
  /// Send, or nothing where the first goes on alone.
  virtual std::optional<CallStep> hedge(CallHandle call,
                                        base::TimePoint now) = 0;

  /// Drops the call after its Finish, or after the caller went away.
  virtual void end(CallHandle call, base::TimePoint now) = 0;

  /// Keeps the whole answer, in a form of the shell's own, of a call whose
  /// Send asked for it. Comes before attemptEnded(Answered). An answer that
  /// was not kept, or is too large, makes resends end as unknown.
  virtual void keepAnswer(CallHandle, std::string &&, base::TimePoint) {}

  /// Returns the answer that a Replay step stands for.
  virtual std::string keptAnswer(CallHandle) const { return {}; }

  /// Takes the function that is called when a call whose step was Wait goes
  /// on with another one: Replay, Send or Finish. It is called from inside
  /// attemptEnded(), end() or tick(); the shell carries the step out later.
  using Resumed = std::function<void(CallHandle, const CallStep &)>;
  virtual void whenResumed(const Resumed &) {}
};

} // namespace radishcross::calls
