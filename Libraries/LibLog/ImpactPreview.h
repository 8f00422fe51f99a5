#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Impact.h>
#include <LibLog/HeldVersions.h>

#include <optional>

namespace radishcross::log {

/// Returns the impact on the traffic of one proxy if \p candidate were attached
/// to it now. Fails with the reason for the wait if the proxy could not take
/// the candidate yet. A candidate that is not newer than the held version has
/// no impact.
std::optional<config::Impact>
previewImpact(const HeldVersions &held, config::ConfigurationVersion candidate,
              const config::Usage &usage, base::LastReason &reason);

} // namespace radishcross::log
