#pragma once

#include <LibTrace/Entry.h>

#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace radishcross::trace {

/// Appends \p entry to \p out as one JSON line.
void appendEntry(std::string &out, const Entry &entry);

/// Parses an entry; on failure \p why describes the error.
std::optional<Entry> readEntry(const boost::json::value &value,
                               std::string &why);

} // namespace radishcross::trace
