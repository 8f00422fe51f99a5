#include <LibBalance/StatedLimit.h>

namespace radishcross::balance {

bool StatedLimit::answered(const TargetSignals &signals, base::TimePoint sentAt,
                           base::TimePoint now) {
  if (signals.IsLimitMalformed)
    return false;
  const auto &stated = signals.RateLimit;
  const bool isLater = !HasAnswer || sentAt >= ConfirmedAt;
  const bool loosens = Rate && (!stated || *stated > *Rate);
  if (loosens && !isLater)
    return false;
  const bool out = stated != Rate;
  Rate = stated;
  HasAnswer = true;
  if (stated)
    ConfirmedAt = now;
  return out;
}

bool StatedLimit::reported(MilliRate rate) {
  if (HasAnswer || (Rate && *Rate <= rate))
    return false;
  Rate = rate;
  return true;
}

} // namespace radishcross::balance
