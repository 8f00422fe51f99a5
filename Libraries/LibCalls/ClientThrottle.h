#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>

namespace radishcross::calls {

/// Client-side throttling: sheds calls of one service at the caller's node
/// while its targets refuse them as overloaded, which saves the network round
/// trip. Each rank is throttled by its own refusals. More calls are let through
/// than were accepted recently, with a higher factor for more urgent ranks, so
/// that the targets' floors stay used and the end of the overload is noticed.
class ClientThrottle {
public:
  /// Counts a call; returns true if it is to be shed.
  bool shouldShed(config::Rank rank, base::TimePoint now, base::Random &random);

  /// Counts that a call was refused as overloaded.
  void refused(config::Rank rank);

  /// Returns the time after which the caller of a shed call may retry.
  static base::Duration retryAfter(config::Rank rank);

private:
  struct Window {
    uint64_t Calls = 0;   ///< Including shed calls.
    uint64_t Refused = 0; ///< Including shed calls.
    uint64_t Passed = 0;  ///< In this period.
  };
  void decay(base::TimePoint now);

  std::array<Window, config::RankCount> Windows{};
  base::TimePoint DecayedAt{};
};

} // namespace radishcross::calls
