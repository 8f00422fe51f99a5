#pragma once

#include <string_view>

namespace radishcross::config {

/// Maximum length in bytes of the name of a configuration, service, route or
/// attachment.
constexpr size_t MaximumNameBytes = 63;

/// Returns true if \p text is a valid name: 1 to 63 ASCII letters, digits, '-',
/// '_' and '.', starting with a letter or digit.
bool isName(std::string_view text);

/// Returns true if \p text has the form "name" or "configuration/name".
bool isServiceReference(std::string_view text);

} // namespace radishcross::config
