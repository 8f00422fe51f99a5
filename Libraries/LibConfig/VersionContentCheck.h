#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Resources.h>

namespace radishcross::config {

/// Validates the semantics of \p content (names, prefixes, references inside
/// the configuration), from whatever source it was read. Fails with a 1xxx or
/// 2xxx code.
bool checkVersionContent(const VersionContent &content,
                         base::LastReason &reason);

} // namespace radishcross::config
