#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>
#include <optional>

namespace radishcross::calls {

/// What all nodes together may spend on retries of one service in any window.
struct RetryLimits {
  /// Retries for each 1000 calls; without one the service's own limit holds.
  std::optional<int64_t> RatioPermille;
  base::Duration Window = std::chrono::seconds(10);
  int64_t Slack = 0; ///< Retries beyond the ratio.
};

/// One node's part of a service's retries over a sliding window: the ratio of
/// the calls that began here, and the slack divided by the nodes. Without a
/// slack the first retry of a window is lent. Less urgent ranks leave a part to
/// the more urgent ones.
class RetryBudget {
public:
  /// Counts one call, which earns \p permille of a retry.
  void called(int64_t permille, base::Duration window, base::TimePoint now);

  /// Tells whether a call of \p rank may be retried now; \p nodes share the
  /// slack, 0: their number is unknown.
  bool available(config::Rank rank, const RetryLimits &limits, int64_t nodes,
                 base::TimePoint now);

  /// Returns how many calls of \p rank may be retried now.
  int64_t left(config::Rank rank, const RetryLimits &limits, int64_t nodes,
               base::TimePoint now);

  /// Takes one retry out.
  void spend(const RetryLimits &limits, base::TimePoint now);

private:
  static constexpr int64_t BucketCount = 10; ///< Of a window.
  struct Bucket {
    int64_t Number = -1; ///< Of the part, counted from the clock's start.
    int64_t Earned = 0;  ///< Permille of a retry.
    int64_t Spent = 0;
  };
  Bucket &bucketAt(base::Duration window, base::TimePoint now);

  std::array<Bucket, BucketCount + 1> Buckets{}; ///< By number, in turn.
};

} // namespace radishcross::calls
