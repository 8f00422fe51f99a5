#include "Command.h"
#include "Flags.h"
#include "Output.h"

#include <LibAdmin/NodeSettings.h>
#include <LibNode/Node.h>

#include <absl/flags/flag.h>
#include <platform/Ports.h>

namespace radishcross::cli {

base::ResultCode runNode(const Arguments &) {
  base::LastReason reason;
  auto path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    reason.fail(base::ResultCode::UsageError,
                "radishcross node needs --settings FILE");
    return printFailure(reason);
  }
  auto settings = admin::loadNodeSettings(path, reason);
  if (!settings)
    return printFailure(reason);
  return node::run(*settings, path, platform::ports());
}

} // namespace radishcross::cli
