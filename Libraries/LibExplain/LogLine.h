#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::explain {

/// One line of the log of a node; see docs/LOGS.md.
struct LogLine {
  int64_t TimeUs = 0; ///< Microseconds since 1970, by the clock of the node.
  std::string Node;
  std::string DataCentre;
  std::string Event;
  std::map<std::string, std::string, std::less<>> Fields;

  /// Returns the named field, or an empty string.
  const std::string &field(std::string_view name) const;

  /// Returns the named field as an integer; 0 if it is missing or not one.
  int64_t number(std::string_view name) const;
};

/// Parses one line, ignoring any prefix that a log collector put before the
/// JSON. Returns nothing for a truncated or garbled line, or one that is not a
/// log line of a node.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace radishcross::explain
