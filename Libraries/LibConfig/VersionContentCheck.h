#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Resources.h>

#include <string_view>

namespace radishcross::config {

/// Validates the semantics of \p content (names, prefixes, references inside
/// the configuration), from whatever source it was read. Fails with a 1xxx or
/// 2xxx code.
bool checkVersionContent(const VersionContent &content,
                         base::LastReason &reason);

/// Returns true if \p text is empty or valid as the path of a request line.
bool isHealthPath(std::string_view text);

} // namespace radishcross::config
