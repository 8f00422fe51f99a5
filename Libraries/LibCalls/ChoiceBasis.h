#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>

#include <cstdint>

namespace radishcross::calls {

/// What was known when a target was chosen, for the log.
struct ChoiceBasis {
  uint32_t Candidates = 0; ///< Usable targets of the service.
  uint32_t LeftOut = 0;    ///< Of them, those ejected after failures.
  uint32_t InFlight = 0;   ///< This node's calls at the chosen one before.
  uint32_t LoadPermille = 0;
  bool Suspect = false; ///< Its node is suspected to have failed.
  /// Since the chosen one's load was last reported or observed.
  base::Duration KnownAge{};
};

/// Why a call has no further attempt.
enum class StopReason : uint8_t {
  None, ///< Nothing to say: another attempt follows, or none was planned.
  Answered,
  Shed,             ///< Before any attempt, while targets refuse calls.
  NoTarget,         ///< There was no usable target.
  Final,            ///< The refusal holds at every target.
  AttemptsUsed,     ///< The route's or the call's number of attempts.
  NotRepeatable,    ///< It may have run, and may not run twice or again.
  DownstreamFailed, ///< A call below it failed and was dealt with there.
  WithinRetry,      ///< The call above is a retry itself.
  NoBudget,         ///< The service's retries are spent.
  NoTime,           ///< The deadline leaves none.
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
