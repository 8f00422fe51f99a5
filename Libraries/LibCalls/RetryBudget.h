#pragma once

#include <cstdint>

namespace radishcross::calls {

/// Bounds the retries of one service to a share of its calls. After any number
/// of calls it has allowed at most that share of them, or one retry.
class RetryBudget {
public:
  /// Retries that may be saved up for a burst.
  static constexpr int64_t HighestSaving = 20;

  /// Counts one call, which earns \p percent of a retry.
  void called(uint32_t percent);

  /// Tells whether a retry may be made now.
  bool available() const;

  /// Takes one retry out; returns false when none is left.
  bool spend();

private:
  static constexpr int64_t OneRetry = 100; ///< In percents of a call.
  int64_t Balance = 0;
  bool Spent = false;
};

} // namespace radishcross::calls
