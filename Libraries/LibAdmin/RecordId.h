#pragma once

#include <string>
#include <string_view>

namespace radishcross::admin {

/// Returns a new record id: 128 random bits as hexadecimal digits. Replayed
/// decisions do not depend on it, so the system's random generator is used.
std::string newRecordId();

/// Returns whether \p id is valid: 8 to 64 letters, digits or hyphens.
bool isRecordId(std::string_view id);

} // namespace radishcross::admin
