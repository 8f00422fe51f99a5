#pragma once

#include <LibBase/Clock.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>

namespace radishcross::fleet {

/// What a node gives to a peer: a large answer, the external configuration, or
/// anything else.
enum class TransferKind : uint8_t { State, External, Other };

/// Bounds the transfers that a node serves at once, so that a herd of
/// newcomers costs it a known amount. Who is refused is told when to come back;
/// the more were refused lately, the later.
class TransferGate {
public:
  /// By TransferKind. Versions pass from holder to holder: who has just got one
  /// serves the next, so few at a time are faster than many.
  static constexpr uint32_t MaximumRunning[] = {4, 6, 32};
  static constexpr std::chrono::milliseconds ShortestRetry{50};
  static constexpr uint32_t LongestRetryFactor = 40;

  /// Takes a place; false when all are taken.
  bool begin(TransferKind kind) {
    auto index = static_cast<size_t>(kind);
    if (Running[index] >= MaximumRunning[index]) {
      ++Refused;
      return false;
    }
    ++Running[index];
    return true;
  }

  void end(TransferKind kind) {
    --Running[static_cast<size_t>(kind)];
    Refused = Refused > 1 ? Refused - 2 : 0;
  }

  /// Returns when a refused peer should come back.
  std::chrono::milliseconds retryAfter() const {
    return ShortestRetry * std::clamp(Refused, 1U, LongestRetryFactor);
  }

private:
  std::array<uint32_t, std::size(MaximumRunning)> Running{};
  uint32_t Refused = 0;
};

} // namespace radishcross::fleet
