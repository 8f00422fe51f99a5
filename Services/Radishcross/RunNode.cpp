#include "Command.h"
#include "Flags.h"
#include "Output.h"

#include <LibAdmin/NodeSettings.h>
#include <LibNode/Node.h>

#include <absl/flags/flag.h>
#include <malloc.h>
#include <platform/Ports.h>

namespace radishcross::cli {

namespace {

/// Larger blocks go back to the system when they are freed: the bodies that a
/// node held before must not count beside those that it holds now.
constexpr int MappedBlockBytes = 256 << 10;

} // namespace

base::ResultCode runNode(const Arguments &) {
  // Otherwise glibc raises the threshold with each large block that is freed.
  ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
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
