#pragma once

#include <string>
#include <string_view>

namespace radishcross::admin {

/// Returns a new record id: 128 random bits as hexadecimal digits. It is not
/// part of any replayed decision, so it comes from the system's generator.
std::string newRecordId();

/// Tells whether a client may choose \p id: 8 to 64 letters, digits or hyphens.
bool isRecordId(std::string_view id);

} // namespace radishcross::admin
