#include <LibCalls/ClientThrottle.h>

namespace radishcross::calls {

namespace {

/// Counts are halved after each period.
constexpr base::Duration HalvingPeriod = std::chrono::seconds(1);
constexpr int64_t MaximumHalvings = 32;
/// Calls of a rank that are always let through in each period, so that the end
/// of an overload is noticed.
constexpr uint64_t MinimumPassed = 5;

/// By rank: calls let through for each accepted call, in permille, and the time
/// after which the caller of a shed call may retry.
constexpr uint64_t PassedPermille[config::RankCount] = {3000, 2500, 2000};
constexpr base::Duration RetryAfter[config::RankCount] = {
    std::chrono::seconds(1), std::chrono::seconds(2), std::chrono::seconds(5)};

} // namespace

bool ClientThrottle::shouldShed(config::Rank rank, base::TimePoint now,
                                base::Random &random) {
  decay(now);
  auto &it = Windows[static_cast<size_t>(rank)];
  const uint64_t accepted = it.Calls - it.Refused;
  const uint64_t allowed =
      accepted * PassedPermille[static_cast<size_t>(rank)] / 1000;
  ++it.Calls;
  const bool pass = it.Passed < MinimumPassed || it.Calls <= allowed ||
                    random.below(it.Calls) < allowed;
  if (pass)
    ++it.Passed;
  else
    ++it.Refused;
  return !pass;
}

void ClientThrottle::refused(config::Rank rank) {
  auto &it = Windows[static_cast<size_t>(rank)];
  if (it.Refused < it.Calls)
    ++it.Refused;
}

base::Duration ClientThrottle::retryAfter(config::Rank rank) {
  return RetryAfter[static_cast<size_t>(rank)];
}

void ClientThrottle::decay(base::TimePoint now) {
  const auto periods = (now - DecayedAt) / HalvingPeriod;
  if (periods <= 0)
    return;
  DecayedAt += HalvingPeriod * periods;
  const auto halvings = periods < MaximumHalvings ? periods : MaximumHalvings;
  for (auto &it : Windows) {
    it.Calls >>= halvings;
    it.Refused >>= halvings;
    it.Passed = 0;
  }
}

} // namespace radishcross::calls
