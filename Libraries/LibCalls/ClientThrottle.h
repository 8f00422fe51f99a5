#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>

namespace radishcross::calls {

/// Sheds calls of one service at the caller's node while its targets refuse
/// them as overloaded, so that a refusal costs no network. Each rank is judged
/// by its own refusals, and some more calls are always let through than were
/// accepted lately, more of the urgent ranks: the targets' floors stay filled,
/// and the end of the overload is noticed.
class ClientThrottle {
public:
  /// Counts a call; returns true when it has to be shed.
  bool shouldShed(config::Rank rank, base::TimePoint now, base::Random &random);

  /// Counts that a call was refused as overloaded.
  void refused(config::Rank rank);

  /// Returns when a shed caller may come back.
  static base::Duration retryAfter(config::Rank rank);

private:
  struct Window {
    uint64_t Calls = 0;   ///< Including the shed ones.
    uint64_t Refused = 0; ///< Including the shed ones.
    uint64_t Passed = 0;  ///< In this period.
  };
  void decay(base::TimePoint now);

  std::array<Window, config::RankCount> Windows{};
  base::TimePoint DecayedAt{};
};

} // namespace radishcross::calls
