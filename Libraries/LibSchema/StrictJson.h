#pragma once

#include <LibBase/LastReason.h>

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

namespace radishcross::schema {

/// Size limits of a document.
struct DocumentLimits {
  size_t MaximumBytes = 4UL << 20;
  size_t MaximumDepth = 24;
};

/// Parses one JSON document strictly: UTF-8 only, no duplicate keys, nothing
/// after the document. Numbers must fit 64 bits or be finite.
///
/// Fails with one of the 1003..1009 codes or NumberOutOfRange; the reason gives
/// the path of the key, or the line and column.
std::optional<boost::json::value> parseStrictJson(std::string_view text,
                                                  const DocumentLimits &limits,
                                                  base::LastReason &reason);

/// Reads and parses the file at \p path. Reads at most one byte more than
/// \p limits.MaximumBytes. Also fails with FileUnreadable.
std::optional<boost::json::value> readStrictJson(const std::string &path,
                                                 const DocumentLimits &limits,
                                                 base::LastReason &reason);

/// Returns \p value serialized with the keys of all objects sorted, so that
/// equal documents have equal bytes and hashes.
std::string canonicalJson(const boost::json::value &value);

} // namespace radishcross::schema
