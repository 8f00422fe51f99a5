#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::explain {

/// One line of a node's log; see docs/LOGS.md.
struct LogLine {
  int64_t TimeUs = 0; ///< Microseconds since 1970, by the node's own clock.
  std::string Node;
  std::string DataCentre;
  std::string Event;
  std::map<std::string, std::string, std::less<>> Fields;

  /// Returns a field; empty where the line has none of this name.
  const std::string &field(std::string_view name) const;

  /// Returns a field as a number; 0 where it is none.
  int64_t number(std::string_view name) const;
};

/// Reads one line. What a collector of logs put before the JSON is passed over.
/// Returns nothing for a line that is cut, garbled or none of a node.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace radishcross::explain
