#include "Command.h"
#include "Flags.h"
#include "Output.h"

#include <LibAdmin/NodeSettings.h>
#include <LibNode/Node.h>

#include <absl/flags/flag.h>
#include <cstdio>
#include <cstdlib>
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
  auto code = node::run(*settings, path, platform::ports());
  // The node has ended by now. A normal exit would wait for the idle threads of
  // the log's library, past the end of the grace time where threads are slow.
  std::fflush(nullptr);
  std::_Exit(base::describe(code).ExitCode);
}

} // namespace radishcross::cli
