#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>
#include <optional>

namespace radishcross::calls {

/// Limits for the retries of one service by all nodes together in any window.
struct RetryLimits {
  /// Retries per 1000 calls; if not set the service's own limit applies.
  std::optional<int64_t> RatioPermille;
  base::Duration Window = std::chrono::seconds(10);
  int64_t Slack = 0; ///< Retries in addition to the ratio.
};

/// One node's retry budget for a service over a sliding window: a ratio of the
/// calls started at this node, plus the slack divided by the number of nodes.
/// Without slack the first retry of a window may be borrowed. Less urgent ranks
/// may use only a part of the budget, which leaves the rest to more urgent
/// ones.
class RetryBudget {
public:
  /// Counts one call, which earns \p permille of a retry.
  void called(int64_t permille, base::Duration window, base::TimePoint now);

  /// Returns whether a call of \p rank may be retried now. \p nodes: number of
  /// nodes that share the slack; 0: unknown.
  bool available(config::Rank rank, const RetryLimits &limits, int64_t nodes,
                 base::TimePoint now);

  /// Returns how many calls of \p rank may be retried now.
  int64_t left(config::Rank rank, const RetryLimits &limits, int64_t nodes,
               base::TimePoint now);

  /// Consumes one retry.
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
