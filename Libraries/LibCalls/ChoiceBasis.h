#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>

#include <cstdint>

namespace radishcross::calls {

/// Data on which the choice of a target was based, for the log.
struct ChoiceBasis {
  uint32_t Candidates = 0; ///< Usable targets of the service.
  uint32_t LeftOut = 0;    ///< Of them, those ejected after failures.
  uint32_t InFlight = 0;   ///< This node's calls at the chosen target before.
  uint32_t LoadPermille = 0;
  int64_t TimePermille = 0; ///< Of the mean time of the service's targets.
  bool Suspect = false;     ///< Its node is suspected to have failed.
  /// Time since the chosen target's load was last reported or observed.
  base::Duration KnownAge{};
};

/// Why an attempt was started beside another one.
enum class HedgeCause : uint8_t {
  None,   ///< It was not.
  Silent, ///< The first one was silent for too long; see balance::HedgeDelay.
  Late,   ///< Most answers had come by then; see balance::HedgePolicy.
};

constexpr base::EnumName<HedgeCause> HedgeCauseNames[] = {
    {HedgeCause::None, ""},
    {HedgeCause::Silent, "silent"},
    {HedgeCause::Late, "late"},
};

/// Why a call has no further attempt.
enum class StopReason : uint8_t {
  None, ///< Another attempt follows, or none was planned.
  Answered,
  Shed,             ///< Shed before any attempt, while targets refuse calls.
  NoTarget,         ///< There was no usable target.
  Final,            ///< Every target would refuse the call.
  AttemptsUsed,     ///< The route's or the call's limit of attempts is reached.
  NotRepeatable,    ///< It may have run, and must not run again.
  DownstreamFailed, ///< A downstream call failed and was handled there.
  WithinRetry,      ///< The parent call is itself a retry.
  NoBudget,         ///< The service's retry budget is spent.
  NoTime,           ///< Too little time is left until the deadline.
  NoOtherTarget,
  ClientGone,
};

constexpr base::EnumName<StopReason> StopReasonNames[] = {
    {StopReason::None, ""},
    {StopReason::Answered, "answered"},
    {StopReason::Shed, "shed"},
    {StopReason::NoTarget, "no-target"},
    {StopReason::Final, "final"},
    {StopReason::AttemptsUsed, "attempts-used"},
    {StopReason::NotRepeatable, "not-repeatable"},
    {StopReason::DownstreamFailed, "failed-below"},
    {StopReason::WithinRetry, "below-retry"},
    {StopReason::NoBudget, "no-budget"},
    {StopReason::NoTime, "no-time"},
    {StopReason::NoOtherTarget, "no-other-target"},
    {StopReason::ClientGone, "client-gone"},
};

} // namespace radishcross::calls
