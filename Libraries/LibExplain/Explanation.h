#pragma once

#include <LibBase/ResultCode.h>
#include <LibExplain/LogCollection.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace radishcross::explain {

/// One step on the path of a request.
struct Hop {
  std::string Node;
  int64_t AtUs = 0; ///< Microseconds since 1970, by the clock of the node.
  std::string What; ///< The decision and its inputs, for people.
};

/// What the log lines of several nodes show about one request.
struct Explanation {
  std::string RequestId;
  std::vector<Hop> Hops; ///< In path order, not in clock order.
  /// State of nodes around that time: versions in force, starts, stops, drains,
  /// targets that left, the store.
  std::vector<std::string> Observations;
  std::vector<std::string>
      MissingNodes;              ///< Nodes on the path without any line.
  std::vector<std::string> Gaps; ///< Expected lines that are missing.
  base::ResultCode Cause = base::ResultCode::NotFound;
  std::string CauseText;
  uint64_t Lines = 0;
  uint64_t Garbled = 0;
  uint64_t Omitted = 0; ///< Lines of the request beyond the limit.
};

/// Orders the lines of a request along its path and determines the cause of its
/// end. Cause is NotFound when the lines do not show one.
Explanation explain(const LogCollection &lines);

/// Returns the explanation as text lines for people.
std::string explanationText(const Explanation &explanation);

/// Returns the explanation as JSON.
boost::json::value explanationJson(const Explanation &explanation);

} // namespace radishcross::explain
