#pragma once

#include <LibBase/Clock.h>

#include <cstdint>

namespace radishcross::balance {

/// Moving share of the calls that one target itself refuses, as seen by a
/// caller's node. It makes up for the few calls in flight at a target that
/// refuses many at once. It falls to zero with its age.
class RefusalShare {
public:
  static constexpr int64_t FullPermille = 1000;
  static constexpr int64_t MaximumPermille = 900;
  static constexpr int64_t MemoryInCalls = 16;
  static constexpr base::Duration Lifetime = std::chrono::seconds(5);

  void refused(base::TimePoint now) {
    Permille += (FullPermille - Permille) / MemoryInCalls;
    At = now;
  }

  void answered(base::TimePoint now) {
    Permille -= Permille / MemoryInCalls;
    At = now;
  }

  /// Returns the share, from 0 to MaximumPermille.
  int64_t permille(base::TimePoint now) const {
    if (Permille == 0 || now - At >= Lifetime)
      return 0;
    const auto fresh = (Lifetime - (now - At)).count();
    const int64_t out = Permille * fresh / Lifetime.count();
    return out < MaximumPermille ? out : MaximumPermille;
  }

private:
  int64_t Permille = 0;
  base::TimePoint At{};
};

} // namespace radishcross::balance
