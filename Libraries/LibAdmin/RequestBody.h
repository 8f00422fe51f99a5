#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Selector.h>

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::admin {

/// Reads a text; fails with WrongType, or with MissingKey without a \p
/// fallback.
std::optional<std::string> readText(const boost::json::object &body,
                                    std::string_view key,
                                    std::optional<std::string> fallback,
                                    base::LastReason &reason);

/// Reads a name that must be there; fails with BadValue as well.
std::optional<std::string> readName(const boost::json::object &body,
                                    std::string_view key,
                                    base::LastReason &reason);

/// Checks that \p text can name a configuration or an attachment; fails with
/// BadValue, naming \p key.
bool checkName(const std::string &text, std::string_view key,
               base::LastReason &reason);

/// Reads a whole number, or \p fallback when it is missing.
std::optional<uint64_t> readNumber(const boost::json::object &body,
                                   std::string_view key, uint64_t fallback,
                                   base::LastReason &reason);

/// Reads "selector"; every node when it is missing. Fails with BadSelector.
std::optional<config::Selector> readSelector(const boost::json::object &body,
                                             base::LastReason &reason);

} // namespace radishcross::admin
