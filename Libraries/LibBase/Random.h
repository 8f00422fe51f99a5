#pragma once

#include <cstdint>

namespace radishcross::base {

/// A seeded pseudo-random generator (SplitMix64). Equal seeds give equal
/// sequences on every platform, so replays and tests are reproducible.
class Random {
public:
  explicit Random(uint64_t seed) : State(seed) {}

  /// Returns the next 64 random bits.
  uint64_t next() {
    State += 0x9E3779B97F4A7C15ULL;
    uint64_t z = State;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

  /// Returns a number in [0, bound); 0 when \p bound is 0.
  uint64_t below(uint64_t bound) { return bound == 0 ? 0 : next() % bound; }

  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
  uint64_t State;
};

} // namespace radishcross::base
