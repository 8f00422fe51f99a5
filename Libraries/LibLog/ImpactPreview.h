#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Impact.h>
#include <LibLog/HeldVersions.h>

#include <optional>

namespace radishcross::log {

/// Returns what would happen to the traffic of one proxy if \p candidate were
/// attached to it now. A candidate that the proxy would have to wait with fails
/// with the reason for the wait; one that is not above what it holds changes
/// nothing.
std::optional<config::Impact>
previewImpact(const HeldVersions &held, config::ConfigurationVersion candidate,
              const config::Usage &usage, base::LastReason &reason);

} // namespace radishcross::log
