#pragma once

#include <cstdint>
#include <optional>

namespace radishcross::balance {

/// What a target states about its load on one of its answers.
struct TargetLoad {
  uint32_t Running = 0; ///< Requests.
  uint32_t Waiting = 0; ///< Requests.
  uint32_t Slots = 1;   ///< Requests that it can run at once.
  /// Time that work takes there now, as a percentage of the usual.
  std::optional<uint32_t> PacePercent;

  bool operator==(const TargetLoad &) const = default;
};

} // namespace radishcross::balance
