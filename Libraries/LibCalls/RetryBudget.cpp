#include <LibCalls/RetryBudget.h>

#include <algorithm>

namespace radishcross::calls {

namespace {

constexpr int64_t OneRetry = 1000; ///< In permille of a call.

/// The part of the budget that a rank may use up, in permille.
constexpr int64_t RankPermille[config::RankCount] = {1000, 750, 500};

} // namespace

RetryBudget::Bucket &RetryBudget::bucketAt(base::Duration window,
                                           base::TimePoint now) {
  const auto length = std::max<int64_t>(window.count() / BucketCount, 1);
  const int64_t number = now.time_since_epoch().count() / length;
  auto &out = Buckets[static_cast<size_t>(number) % Buckets.size()];
  if (out.Number != number)
    out = {number, 0, 0};
  return out;
}

void RetryBudget::called(int64_t permille, base::Duration window,
                         base::TimePoint now) {
  bucketAt(window, now).Earned += permille;
}

bool RetryBudget::available(config::Rank rank, const RetryLimits &limits,
                            int64_t nodes, base::TimePoint now) {
  return left(rank, limits, nodes, now) > 0;
}

int64_t RetryBudget::left(config::Rank rank, const RetryLimits &limits,
                          int64_t nodes, base::TimePoint now) {
  const int64_t newest = bucketAt(limits.Window, now).Number;
  int64_t earned = 0;
  int64_t spent = 0;
  for (const auto &it : Buckets) {
    if (it.Number < newest - BucketCount || it.Number > newest)
      continue;
    spent += it.Spent;
    // Of the oldest part some lies before the window.
    if (it.Number > newest - BucketCount)
      earned += it.Earned;
  }
  const bool borrowsFirstRetry = limits.Slack == 0 && spent == 0;
  if (nodes > 0)
    earned += limits.Slack * OneRetry / nodes;
  const auto share = RankPermille[static_cast<size_t>(rank)];
  const auto out =
      std::max<int64_t>(earned * share / OneRetry / OneRetry - spent, 0);
  return borrowsFirstRetry ? std::max<int64_t>(out, earned > 0 ? 1 : 0) : out;
}

void RetryBudget::spend(const RetryLimits &limits, base::TimePoint now) {
  ++bucketAt(limits.Window, now).Spent;
}

} // namespace radishcross::calls
