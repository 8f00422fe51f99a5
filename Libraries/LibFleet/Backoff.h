#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>

#include <algorithm>
#include <cstdint>

namespace radishcross::fleet {

/// Exponential backoff with jitter: each delay is drawn between half of a bound
/// and the bound, which doubles after each failure up to a maximum.
class Backoff {
public:
  Backoff(base::Duration shortest, base::Duration longest)
      : Shortest(shortest), Longest(longest) {}

  base::Duration next(base::Random &rng) {
    auto bound = std::min(Longest, Shortest * (1 << std::min(Failures, 16U)));
    ++Failures;
    return bound / 2 + base::Duration(rng.below(bound.count() / 2 + 1));
  }

  void reset() { Failures = 0; }
  uint32_t failures() const { return Failures; }

private:
  base::Duration Shortest;
  base::Duration Longest;
  uint32_t Failures = 0;
};

} // namespace radishcross::fleet
