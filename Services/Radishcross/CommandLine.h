#pragma once

#include "Command.h"

#include <optional>

namespace radishcross::cli {

/// Sets the flags of \p command from the words after its name and returns the
/// positional arguments. Fails with UsageError, suggesting the nearest flag.
std::optional<Arguments> parseArguments(const Command &command,
                                        std::span<char *> words,
                                        base::LastReason &reason);

/// Returns the command of this name. Fails with UsageError, suggesting the
/// nearest command.
const Command *findCommand(std::string_view name, base::LastReason &reason);

/// Returns the help of one command, with its flags and an example.
std::string commandHelp(const Command &command);

/// Returns the help of the whole program.
std::string programHelp();

} // namespace radishcross::cli
