#pragma once

#include <string_view>

namespace radishcross::log {

constexpr size_t MaximumRecordIdBytes = 128;

/// Tells whether \p text can be a record's id: 1 to 128 printable ASCII bytes
/// without spaces.
bool isRecordId(std::string_view text);

} // namespace radishcross::log
