#pragma once

#include <LibBase/ResultCode.h>
#include <LibExplain/LogCollection.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace radishcross::explain {

/// One step of a request's path.
struct Hop {
  std::string Node;
  int64_t AtUs = 0; ///< Of its line; microseconds since 1970, by its own clock.
  std::string What; ///< What was decided, on which inputs.
};

/// What the lines of several nodes say of one request.
struct Explanation {
  std::string RequestId;
  std::vector<Hop> Hops; ///< In the order of the path, not of the clocks.
  /// What nodes believed at that time: versions in force, targets, the store.
  std::vector<std::string> Observations;
  std::vector<std::string>
      MissingNodes;              ///< Nodes named of which no line is here.
  std::vector<std::string> Gaps; ///< Lines that nodes given do not have.
  base::ResultCode Cause = base::ResultCode::NotFound;
  std::string CauseText;
  uint64_t Lines = 0;
  uint64_t Garbled = 0;
  uint64_t Omitted = 0; ///< Lines of the request above the bound.
};

/// Puts a request's lines in the order of its path and names the cause of its
/// end; Cause is NotFound where no line is of it.
Explanation explain(const LogCollection &lines);

/// Returns the explanation for people, in lines.
std::string explanationText(const Explanation &explanation);

/// Returns the explanation for machines.
boost::json::value explanationJson(const Explanation &explanation);

} // namespace radishcross::explain
