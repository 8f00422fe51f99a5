#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::calls {

/// One observed event of a call or target, in order of time.
struct CallEvent {
  enum class Kind : uint8_t {
    Ran,             ///< Target started to run Call.
    Answered,        ///< The caller of Call received the answer to call Other.
    Truncated,       ///< The caller of Call got a truncated answer as complete.
    ReportedNotRun,  ///< The caller of Call was told that it was not run.
    ReportedUnknown, ///< The caller of Call was told that its outcome is
                     ///< unknown.
    Announced,       ///< Target announced itself as ready.
    Leaving,         ///< Target announced that it is leaving.
    StopStarted,     ///< A planned stop of Target started.
    Aborted,         ///< Call was aborted while it ran at Target.
  };
  base::TimePoint At{};
  Kind What = Kind::Ran;
  std::string Call;   ///< Id of the request, or its idempotency key.
  std::string Target; ///< Node and target.
  std::string Other;
  bool Idempotent = false;
};

/// Violation of an invariant.
struct Violation {
  size_t Event = 0; ///< Index of the violating event in the list.
  std::string Text;
};

using CallEvents = std::span<const CallEvent>;

/// An invariant of calls and its check over a list of events.
struct CallInvariant {
  std::string_view Name;
  std::optional<Violation> (*Check)(CallEvents events);
};

/// Time after a target's announcement to leave from which it must not get new
/// work.
constexpr base::Duration LeavingGrace = std::chrono::seconds(3);

/// Returns all invariants of calls.
std::span<const CallInvariant> callInvariants();

/// Returns the first violation of each violated invariant.
std::vector<Violation> checkCalls(CallEvents events);

} // namespace radishcross::calls
