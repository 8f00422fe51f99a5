#pragma once

#include <LibBase/LastReason.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::base {

/// Returns \p bytes in the zlib format (RFC 1950), compressed for speed.
std::string zlibCompress(std::string_view bytes);

/// Decompresses the output of zlibCompress(). Fails with RecordMalformed when
/// \p bytes are not in that format or decompress to more than \p maxBytes.
std::optional<std::string> zlibDecompress(std::string_view bytes,
                                          size_t maxBytes, LastReason &reason);

} // namespace radishcross::base
