#pragma once

#include <LibAdmission/TargetLeases.h>
#include <LibBase/LastReason.h>

#include <optional>
#include <string>
#include <string_view>

namespace radishcross::node {

/// Returns \p name as "configuration/name". A name without a configuration
/// belongs to the external configuration.
std::string fullServiceName(std::string_view name);

/// Decodes a heartbeat of target \p id: {"service", "address", "state",
/// "slots", "sequence", "warm_up_ms", "started_unix_ms"}; unknown keys are
/// ignored. Fails with a 1xxx code. A service without a configuration's name
/// belongs to the external configuration.
std::optional<admission::Heartbeat> decodeHeartbeat(std::string_view id,
                                                    std::string_view body,
                                                    base::LastReason &reason);

} // namespace radishcross::node
