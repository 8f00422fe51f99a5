#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Selector.h>

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::admin {

/// Reads a string, or \p fallback when the key is missing. Fails with
/// WrongType, or with MissingKey when there is no fallback.
std::optional<std::string> readText(const boost::json::object &body,
                                    std::string_view key,
                                    std::optional<std::string> fallback,
                                    base::LastReason &reason);

/// Reads a required name. Fails as readText() does, or with BadValue.
std::optional<std::string> readName(const boost::json::object &body,
                                    std::string_view key,
                                    base::LastReason &reason);

/// Checks that \p text is a valid name of a configuration or an attachment.
/// Fails with BadValue; the reason names \p key.
bool checkName(const std::string &text, std::string_view key,
               base::LastReason &reason);

/// Reads an unsigned whole number, or \p fallback when the key is missing.
/// Fails with WrongType.
std::optional<uint64_t> readNumber(const boost::json::object &body,
                                   std::string_view key, uint64_t fallback,
                                   base::LastReason &reason);

/// Reads "selector"; a missing key selects every node. Fails with WrongType or
/// BadSelector.
std::optional<config::Selector> readSelector(const boost::json::object &body,
                                             base::LastReason &reason);

} // namespace radishcross::admin
