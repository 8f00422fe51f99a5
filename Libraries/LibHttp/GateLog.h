#pragma once

#include <string_view>

namespace radishcross::http {

struct GateOutcome;
struct MeshCall;

/// Writes the line "call at gate" of a call that has left its target's node:
/// of each that was refused or failed, and of the sample of the others that
/// the client's node also keeps.
void logGateCall(const MeshCall &call, std::string_view requestId,
                 const GateOutcome &outcome);

} // namespace radishcross::http
