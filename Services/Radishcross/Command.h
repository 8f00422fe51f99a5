#pragma once

#include <LibBase/LastReason.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::cli {

/// Positional arguments of the command line.
using Arguments = std::vector<std::string>;

/// One subcommand.
struct Command {
  std::string_view Name;
  std::string_view Parameters; ///< Shown after the name: "FILE", "[NAME]".
  std::string_view Summary;
  std::string_view Example;
  std::vector<std::string_view> Flags; ///< As written: "accept-impact".
  size_t MinimumArguments = 0;
  size_t MaximumArguments = 0;
  /// Runs the command and prints failures. The exit code follows from the code.
  base::ResultCode (*Run)(const Arguments &arguments);
};

/// Returns every subcommand, in the order of the help text.
std::span<const Command> commands();

base::ResultCode runNode(const Arguments &arguments);
base::ResultCode publish(const Arguments &arguments);
base::ResultCode attach(const Arguments &arguments);
base::ResultCode detach(const Arguments &arguments);
base::ResultCode status(const Arguments &arguments);
base::ResultCode watch(const Arguments &arguments);
base::ResultCode show(const Arguments &arguments);
base::ResultCode diff(const Arguments &arguments);
base::ResultCode impact(const Arguments &arguments);
base::ResultCode audit(const Arguments &arguments);
base::ResultCode drain(const Arguments &arguments);
base::ResultCode members(const Arguments &arguments);
base::ResultCode quarantine(const Arguments &arguments);
base::ResultCode allotments(const Arguments &arguments);
base::ResultCode route(const Arguments &arguments);
base::ResultCode check(const Arguments &arguments);
base::ResultCode schema(const Arguments &arguments);
base::ResultCode record(const Arguments &arguments);
base::ResultCode replay(const Arguments &arguments);
base::ResultCode explainRequest(const Arguments &arguments);

} // namespace radishcross::cli
