#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::calls {

/// Something that an observer of calls saw, in the order of time.
struct CallEvent {
  enum class Kind : uint8_t {
    Ran,         ///< Target began to run Call.
    Answered,    ///< The caller of Call got the answer that was made for Other.
    CutShort,    ///< The caller of Call got a part of an answer as a whole one.
    ToldNotRun,  ///< The caller of Call was told that it was not run.
    ToldUnknown, ///< The caller of Call was told that its outcome is unknown.
    Announced,   ///< Target announced itself as ready.
    Leaving,     ///< Target said that it leaves.
    StopBegun,   ///< A planned stop of Target began.
    Cut,         ///< Call was cut while it ran at Target.
  };
  base::TimePoint At{};
  Kind What = Kind::Ran;
  std::string Call;   ///< One request of a caller, or its idempotency key.
  std::string Target; ///< Node and target.
  std::string Other;
  bool Idempotent = false;
};

/// A broken promise: which event broke it.
struct Violation {
  size_t Event = 0; ///< Index into the list.
  std::string Text;
};

using CallEvents = std::span<const CallEvent>;

/// One promise about calls and its check over a list of events.
struct CallInvariant {
  std::string_view Name;
  std::optional<Violation> (*Check)(CallEvents events);
};

/// After a target says that it leaves, it gets no new work from then on.
constexpr base::Duration LeavingGrace = std::chrono::seconds(3);

/// Returns the promises about calls.
std::span<const CallInvariant> callInvariants();

/// Returns the first violation of each promise that is broken.
std::vector<Violation> checkCalls(CallEvents events);

} // namespace radishcross::calls
