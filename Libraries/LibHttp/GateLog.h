#pragma once

#include <string_view>

namespace radishcross::http {

struct GateOutcome;
struct MeshCall;

/// Writes the log line "call at gate" for a call that has been handled at its
/// target's node: for every call that was refused or failed, and for the same
/// sample of the others that the client's node logs.
void logGateCall(const MeshCall &call, std::string_view requestId,
                 const GateOutcome &outcome);

} // namespace radishcross::http
