#pragma once

#include <LibBase/Metrics.h>
#include <LibHttp/ConnectionEnd.h>

#include <array>
#include <chrono>
#include <optional>
#include <string_view>

namespace radishcross::http {

/// Between two lines of ends that clients can cause in any number.
constexpr base::Duration EndLogInterval = std::chrono::seconds(1);

/// Counts the ends of one listener's connections and writes the line
/// "connection ended" of those that were neither idle nor empty. Ends that
/// clients cause have one line for each reason and EndLogInterval, which tells
/// how many others there were.
class ConnectionEndLog {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// \p side names the listener; \p counters may be null.
  void ended(const ConnectionEnd &end, std::string_view side,
             base::Metrics *counters, Time now);

private:
  struct Row {
    std::optional<Time> LastLine;
    uint64_t Suppressed = 0; ///< Ends without a line since the last one.
  };

  bool shouldLog(EndReason reason, Row &row, Time now) const;

  std::array<Row, EndReasons> Rows;
};

} // namespace radishcross::http
