#pragma once

#include <LibBase/Metrics.h>
#include <LibHttp/ConnectionEnd.h>

#include <array>
#include <chrono>
#include <optional>
#include <string_view>

namespace radishcross::http {

/// Minimum interval between two log lines of one reason that clients can
/// trigger at will.
constexpr base::Duration EndLogInterval = std::chrono::seconds(1);

/// Counts ended connections of one listener and writes the log line "connection
/// ended" for those that did not end idle with nothing unread. Ends that
/// clients cause are logged at most once per reason and EndLogInterval; the
/// line says how many were suppressed.
class ConnectionEndLog {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// \p side names the listener; \p counters may be null.
  void ended(const ConnectionEnd &end, std::string_view side,
             base::Metrics *counters, Time now);

private:
  struct Row {
    std::optional<Time> LastLine;
    uint64_t Suppressed = 0; ///< Ends not logged since the last line.
  };

  bool shouldLog(EndReason reason, Row &row, Time now) const;

  std::array<Row, EndReasons> Rows;
};

} // namespace radishcross::http
