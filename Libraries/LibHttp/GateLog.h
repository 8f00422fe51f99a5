#pragma once

#include <LibBalance/TargetSignals.h>

#include <string_view>

namespace radishcross::http {

struct GateOutcome;
struct MeshCall;

/// Writes the log line "call at gate" for a call that has been handled at its
/// target's node: for every call that was refused or failed, and for the same
/// sample of the others that the client's node logs.
void logGateCall(const MeshCall &call, std::string_view requestId,
                 const GateOutcome &outcome);

/// Which of a target's statements on an answer are news to this node.
struct SignalNews {
  bool RateLimit = false;
  bool Leaving = false;
};

/// Writes the lines "target rate limit changed" and "target is leaving" as far
/// as that is news, and "target rate limit malformed" for a limit that cannot
/// be parsed.
void logSignals(const MeshCall &call, std::string_view requestId,
                const balance::TargetSignals &signals, const SignalNews &news);

} // namespace radishcross::http
