#pragma once

#include <string_view>

namespace radishcross::config {

/// The longest name of a configuration, service, route or attachment.
constexpr size_t MaximumNameBytes = 63;

/// Tells whether \p text is a name: 1 to 63 letters, digits, '-', '_' and '.',
/// of which the first is a letter or digit.
bool isName(std::string_view text);

/// Tells whether \p text is "name" or "configuration/name".
bool isServiceReference(std::string_view text);

} // namespace radishcross::config
