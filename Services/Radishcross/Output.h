#pragma once

#include <LibBase/LastReason.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishcross::cli {

/// Returns whether --json was given.
bool isJsonOutput();

/// Prints text to standard output.
void print(std::string_view text);

/// Prints a document as one line of JSON.
void printDocument(const boost::json::value &document);

/// Prints a failure, as JSON with --json, and returns its code.
base::ResultCode printFailure(const base::LastReason &reason);

/// Returns a member as text; missing members and null give an empty string.
std::string memberText(const boost::json::value &from, std::string_view key);

/// Returns a member as a number; 0 when it is missing.
int64_t memberNumber(const boost::json::value &from, std::string_view key);

/// Returns a time in milliseconds since 1970 as "2026-01-31 12:00:00.123" UTC,
/// or "-" for 0.
std::string timeText(int64_t unixMilliseconds);

} // namespace radishcross::cli
