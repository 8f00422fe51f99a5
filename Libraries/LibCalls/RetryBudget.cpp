#include <LibCalls/RetryBudget.h>

#include <algorithm>

namespace radishcross::calls {

void RetryBudget::called(uint32_t percent) {
  Balance = std::min(Balance + percent, HighestSaving * OneRetry);
}

bool RetryBudget::available() const {
  // The first retry is lent, so that a service with few calls has one too.
  return Balance >= OneRetry || (!Spent && Balance > 0);
}

bool RetryBudget::spend() {
  if (!available())
    return false;
  Balance -= OneRetry;
  Spent = true;
  return true;
}

} // namespace radishcross::calls
