#pragma once

#include <LibBase/Random.h>
#include <LibConfig/Snapshot.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishcross::calls {

/// Parts the requests of split routes among their services by weight. It goes
/// round in turn (smooth weighted round robin), so that the shares hold over
/// short times as well; each node starts at a phase of its own.
class SplitChoice {
public:
  /// Returns the service for the next request of the route that was found.
  const config::Destination &choose(const config::ResolvedRoute &hit,
                                    base::Random &random);

private:
  /// The turn of one route.
  struct Turn {
    std::vector<uint32_t> Weights;
    std::vector<int64_t> Credit; ///< One for each weight; the sum is 0.
  };
  static Turn begin(const std::vector<config::Destination> &shares,
                    base::Random &random);
  static size_t advance(Turn &turn);

  std::map<std::string, Turn, std::less<>> Turns; ///< By the route's name.
};

} // namespace radishcross::calls
