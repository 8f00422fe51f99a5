#pragma once

#include <LibBase/EnumNames.h>

#include <cstdint>

namespace radishcross::admission {

/// Why a gate refused a call, for the log and the metrics.
enum class RefusalCause : uint8_t {
  None,       ///< It was not refused.
  State,      ///< The target takes no calls, or is not known.
  Quarantine, ///< The request is known to crash targets.
  Deadline,   ///< Its deadline has passed.
  Link,       ///< The link could not send its answer in time.
  Wait,       ///< It would not have started in time.
  QueueFull,  ///< It was shed from a full queue.
  Waited,     ///< It waited, and can no longer start in time.
  Displaced,  ///< A tenant with fewer calls here took its place.
  Hedge,      ///< It is a second attempt, which does not wait.
};

constexpr base::EnumName<RefusalCause> RefusalCauseNames[] = {
    {RefusalCause::None, "none"},
    {RefusalCause::State, "state"},
    {RefusalCause::Quarantine, "quarantine"},
    {RefusalCause::Deadline, "deadline"},
    {RefusalCause::Link, "link"},
    {RefusalCause::Wait, "wait"},
    {RefusalCause::QueueFull, "queue-full"},
    {RefusalCause::Waited, "waited"},
    {RefusalCause::Displaced, "displaced"},
    {RefusalCause::Hedge, "hedge"},
};

} // namespace radishcross::admission
