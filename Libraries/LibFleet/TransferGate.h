#pragma once

#include <LibBase/Clock.h>

#include <algorithm>
#include <cstdint>

namespace radishcross::fleet {

/// Bounds the transfers that a node serves at once, so that a herd of
/// newcomers costs it a known amount. Who is refused is told when to come back;
/// the more were refused lately, the later.
class TransferGate {
public:
  static constexpr uint32_t MaximumStates = 4;
  static constexpr uint32_t MaximumOthers = 32;
  static constexpr std::chrono::milliseconds ShortestRetry{50};
  static constexpr uint32_t LongestRetryFactor = 40;

  /// Takes a place; false when all are taken.
  bool begin(bool isState) {
    auto &running = isState ? States : Others;
    if (running >= (isState ? MaximumStates : MaximumOthers)) {
      ++Refused;
      return false;
    }
    ++running;
    return true;
  }

  void end(bool isState) {
    auto &running = isState ? States : Others;
    --running;
    Refused = Refused > 1 ? Refused - 2 : 0;
  }

  /// Returns when a refused peer should come back.
  std::chrono::milliseconds retryAfter() const {
    return ShortestRetry * std::clamp(Refused, 1U, LongestRetryFactor);
  }

private:
  uint32_t States = 0;
  uint32_t Others = 0;
  uint32_t Refused = 0;
};

} // namespace radishcross::fleet
