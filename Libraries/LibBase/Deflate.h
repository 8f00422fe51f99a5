#pragma once

#include <LibBase/LastReason.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::base {

/// Returns \p bytes in the zlib format (RFC 1950), compressed for speed.
std::string zlibCompress(std::string_view bytes);

/// Returns what deflated() was given. Fails with RecordMalformed where \p bytes
/// are not of that format, or hold more than \p maxBytes bytes.
std::optional<std::string> zlibDecompress(std::string_view bytes,
                                          size_t maxBytes, LastReason &reason);

} // namespace radishcross::base
