#pragma once

#include <LibBase/Random.h>
#include <LibConfig/Snapshot.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishcross::calls {

/// Distributes the requests of split routes among their services by weight. It
/// uses smooth weighted round robin, so that the shares also hold over short
/// periods; each node starts at a random phase.
class TrafficSplitter {
public:
  /// Returns the destination for the next request of the matched route.
  const config::Destination &choose(const config::ResolvedRoute &resolved,
                                    base::Random &random);

private:
  /// Round-robin state of one route.
  struct Rotation {
    std::vector<uint32_t> Weights;
    std::vector<int64_t> Credit; ///< One for each weight; the sum is 0.
  };
  static Rotation begin(const std::vector<config::Destination> &shares,
                        base::Random &random);
  static size_t advance(Rotation &rotation);

  std::map<std::string, Rotation, std::less<>>
      Rotations; ///< By the route's name.
};

} // namespace radishcross::calls
