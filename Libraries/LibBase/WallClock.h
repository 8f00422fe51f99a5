#pragma once

#include <chrono>
#include <cstdint>

namespace radishcross::base {

/// Returns the milliseconds since 1970 by the clock of the system, which may be
/// set back: for epochs and for people, never for durations.
inline int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace radishcross::base
