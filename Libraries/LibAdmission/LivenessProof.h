#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>

namespace radishcross::admission {

/// Evidence that a target is alive, as its node's process has seen it. A single
/// heartbeat is none: it may have been sent before the target left, and been
/// delayed until the node had restarted. Several, in order and over some time,
/// would all have to be delayed by the same time.
class LivenessProof {
public:
  static constexpr uint32_t MinHeartbeats = 3;
  static constexpr base::Duration MinTime = std::chrono::milliseconds(2500);

  /// Counts a heartbeat that follows all earlier ones of its process.
  void heartbeat(base::TimePoint now) {
    if (Heartbeats == 0)
      First = now;
    ++Heartbeats;
    if (Heartbeats >= MinHeartbeats && now - First >= MinTime)
      IsGiven = true;
  }

  void give() { IsGiven = true; }

  bool isGiven() const { return IsGiven; }

private:
  uint32_t Heartbeats = 0;
  base::TimePoint First{};
  bool IsGiven = false;
};

} // namespace radishcross::admission
