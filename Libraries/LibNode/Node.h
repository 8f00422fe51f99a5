#pragma once

#include <LibAdmin/NodeSettings.h>
#include <LibBase/ResultCode.h>
#include <LibNode/PlatformPorts.h>

#include <string>

namespace radishcross::node {

/// Runs one node until SIGTERM or SIGINT has drained it. The file at
/// \p settingsPath is read again when it changes. Returns Ok after a graceful
/// shutdown, or the code of the error that prevented the start; its reason is
/// logged.
base::ResultCode run(const admin::NodeSettings &settings,
                     const std::string &settingsPath, PlatformPorts ports);

} // namespace radishcross::node
