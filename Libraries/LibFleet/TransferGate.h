#pragma once

#include <LibBase/Clock.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>

namespace radishcross::fleet {

/// Kind of a transfer to a peer: a whole state, the external configuration, or
/// anything else.
enum class TransferKind : uint8_t { State, External, Other };

/// Limits the transfers that a node serves concurrently, so that many nodes
/// joining at once cost it a bounded amount. A refused peer is given a retry
/// delay, which grows with the number of recent refusals.
class TransferGate {
public:
  /// Concurrent transfers by TransferKind. A peer that has received a version
  /// serves it to the next ones, so a few transfers at a time spread it faster
  /// than many.
  static constexpr uint32_t MaximumRunning[] = {4, 6, 32};
  static constexpr std::chrono::milliseconds ShortestRetry{50};
  static constexpr uint32_t LongestRetryFactor = 40;

  /// Starts a transfer; returns false if the maximum is running.
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

  /// Returns after what delay a refused peer should retry.
  std::chrono::milliseconds retryAfter() const {
    return ShortestRetry * std::clamp(Refused, 1U, LongestRetryFactor);
  }

private:
  std::array<uint32_t, std::size(MaximumRunning)> Running{};
  uint32_t Refused = 0;
};

} // namespace radishcross::fleet
