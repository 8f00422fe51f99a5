#pragma once

#include <LibAdmission/RefusalCause.h>
#include <LibBalance/TargetSignals.h>
#include <LibBase/Clock.h>
#include <LibCalls/CallBroker.h>
#include <LibCalls/CallTypes.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::admission {

/// One call as it arrives at its target's node.
struct Arrival {
  std::string CallId;
  std::string ServiceName;
  std::string TargetId;
  config::Rank CallRank = config::Rank::Background;
  base::Duration Remaining{};
  uint64_t Fingerprint = 0;
  base::Duration LatencyObjective{}; ///< Of its route; 0: none.
  /// The target's rate limit as the caller's node knows it from answers.
  std::optional<balance::MilliRate> StatedRate{};
  bool IsFromOwnService = false; ///< Made on a VM of the called service.
  bool IsNested = false;         ///< Proved to be a nested call.
  bool IsProvable = false;       ///< A nested call would have a proof.
  /// Time that this VM's link is expected to need for the answer and for all
  /// before it; 0 if the answer is small or the link's rate is not known.
  base::Duration LinkTime{};
  std::string Tenant = {}; ///< That asks; empty: none.
  /// The caller's node will ask another target if this one's gate refuses.
  bool CanGoElsewhere = false;
};

/// Identifies an admitted or queued call at one node.
using Ticket = uint64_t;

/// Occupancy of a target's gate when a call arrived, for the log.
struct GateView {
  uint32_t Running = 0;
  uint32_t Limit = 0; ///< Calls that may run; the adaptive limit.
  uint32_t Waiting = 0;
  uint32_t QueueLength = 0; ///< Calls that may wait.
  /// Calls started in the last second.
  uint32_t RecentStarts = 0;
  std::optional<balance::MilliRate> RateLimit; ///< Stated by the target.
  /// Mean slot time of calls like the one that arrived; 0: unknown.
  base::Duration Expected{};
  base::Duration ExpectedWait{}; ///< Of the call that arrived.
};

/// What the gate decided for one call.
struct GateAnswer {
  enum class Kind : uint8_t { Run, Queued, Refuse };

  static GateAnswer refuse(Ticket call, base::ResultCode code,
                           base::Duration retryAfter, RefusalCause why) {
    return {Kind::Refuse, call, code, retryAfter, {}, false, why};
  }
  static GateAnswer accept(Kind what, Ticket call) {
    return {what, call, base::ResultCode::Ok, {}, {}, false, {}};
  }

  Kind What = Kind::Refuse;
  Ticket Call = 0;
  base::ResultCode Code = base::ResultCode::Ok;
  base::Duration RetryAfter{};
  GateView Found; ///< Set by arrive() only.
  /// Set by arrive() only: the call is nested, as proved or as learnt.
  bool IsNested = false;
  RefusalCause Why = RefusalCause::None;
};

/// Admission control at the target's node: decides which call takes a slot,
/// which is queued and which is refused at once. Does no I/O.
class AdmissionGate {
public:
  virtual ~AdmissionGate() = default;

  virtual GateAnswer arrive(const Arrival &arrival, base::TimePoint now) = 0;

  /// Applies what the target states about itself on the answer to a running
  /// call; returns whether its rate limit has changed. Must be called before
  /// ended().
  virtual bool signalled(Ticket call, const balance::TargetSignals &signals,
                         base::TimePoint now) = 0;

  /// Judges the refusal of a running call by its target, which stated \p load
  /// on it. Must be called before ended(), which expects the outcome in
  /// AttemptResult::Refusal.
  virtual balance::RefusalKind
  judgeRefusal(Ticket call, const std::optional<balance::TargetLoad> &load,
               base::TimePoint now) = 0;

  /// Reports the end of a running call. Returns the answers for queued calls
  /// that may run now or are refused.
  virtual std::vector<GateAnswer> ended(Ticket call,
                                        const calls::AttemptResult &result,
                                        base::TimePoint now) = 0;

  /// Removes a queued call whose caller has disconnected.
  virtual void abandoned(Ticket call, base::TimePoint now) = 0;

  /// Refuses queued calls whose deadline can no longer be met.
  virtual std::vector<GateAnswer> tick(base::TimePoint now) = 0;

  /// Returns a target's utilisation, 0 to 1000, for the pressure header.
  virtual uint32_t pressurePermille(const std::string &targetId) const = 0;

  /// Returns the number of running and queued calls, for graceful shutdown.
  virtual size_t inFlight() const = 0;
};

} // namespace radishcross::admission
