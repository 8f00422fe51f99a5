#pragma once

#include <string_view>

namespace radishcross::log {

constexpr size_t MaximumRecordIdBytes = 128;

/// Returns whether \p text is a valid record id: 1 to 128 printable ASCII bytes
/// without spaces.
bool isRecordId(std::string_view text);

} // namespace radishcross::log
