#include <LibCalls/EarlyShed.h>

namespace radishcross::calls {

namespace {

/// Counts are halved after each period.
constexpr base::Duration HalvingPeriod = std::chrono::seconds(1);
constexpr int64_t MostHalvings = 32;
/// With fewer calls a refusal says too little.
constexpr uint64_t LeastCalls = 10;

/// Calls let through for each accepted one, in permille, and when a shed caller
/// may come back, by rank.
constexpr uint64_t PassedPermille[config::RankCount] = {2000, 1500, 1250};
constexpr base::Duration RetryAfter[config::RankCount] = {
    std::chrono::seconds(1), std::chrono::seconds(2), std::chrono::seconds(5)};

} // namespace

bool EarlyShed::shed(config::Rank rank, base::TimePoint now,
                     base::Random &random) {
  age(now);
  auto &it = Windows[static_cast<size_t>(rank)];
  const uint64_t accepted = it.Calls - it.Refused;
  const uint64_t passed =
      accepted * PassedPermille[static_cast<size_t>(rank)] / 1000;
  ++it.Calls;
  if (it.Calls <= LeastCalls || it.Calls <= passed)
    return false;
  if (random.below(it.Calls) >= it.Calls - passed)
    return false;
  ++it.Refused;
  return true;
}

void EarlyShed::refused(config::Rank rank) {
  auto &it = Windows[static_cast<size_t>(rank)];
  if (it.Refused < it.Calls)
    ++it.Refused;
}

base::Duration EarlyShed::retryAfter(config::Rank rank) {
  return RetryAfter[static_cast<size_t>(rank)];
}

void EarlyShed::age(base::TimePoint now) {
  const auto periods = (now - AgedAt) / HalvingPeriod;
  if (periods <= 0)
    return;
  AgedAt += HalvingPeriod * periods;
  const auto halvings = periods < MostHalvings ? periods : MostHalvings;
  for (auto &it : Windows) {
    it.Calls >>= halvings;
    it.Refused >>= halvings;
  }
}

} // namespace radishcross::calls
