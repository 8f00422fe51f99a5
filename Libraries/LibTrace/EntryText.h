#pragma once

#include <LibTrace/Entry.h>

#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace radishcross::trace {

/// Appends one line with an entry to \p out.
void appendEntry(std::string &out, const Entry &entry);

/// Reads an entry; on failure \p why says what is wrong with it.
std::optional<Entry> readEntry(const boost::json::value &value,
                               std::string &why);

} // namespace radishcross::trace
