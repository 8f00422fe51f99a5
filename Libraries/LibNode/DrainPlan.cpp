#include <LibNode/DrainPlan.h>

#include <chrono>

namespace radishcross::node {

namespace {

using namespace std::chrono_literals;

/// Once the listeners are closed no call can arrive; this lets the bytes of the
/// last responses go out.
constexpr base::Duration IdleTimeBeforeLeave = 100ms;

/// The fraction of the grace period that is reserved for ending the process, as
/// a divisor.
constexpr int ShutdownMarginDivisor = 8;

} // namespace

bool DrainPlan::start(base::Duration gracePeriod, base::TimePoint now) {
  if (StartedAt)
    return false;
  StartedAt = LastBusyAt = now;
  GracePeriod = gracePeriod;
  return true;
}

base::Duration DrainPlan::maxDrainTime() const {
  return GracePeriod - GracePeriod / ShutdownMarginDivisor -
         IdleTimeBeforeLeave;
}

DrainPlan::Step DrainPlan::poll(size_t inFlight, base::TimePoint now) {
  if (!StartedAt)
    return Step::Continue;
  if (HasLeft)
    return Step::AlreadyLeft;
  if (inFlight > 0)
    LastBusyAt = now;
  bool isIdle = now - LastBusyAt >= IdleTimeBeforeLeave;
  bool isPastDeadline =
      now - *StartedAt >= maxDrainTime() + IdleTimeBeforeLeave;
  HasLeft = isIdle || isPastDeadline;
  if (isIdle)
    return Step::LeaveIdle;
  return isPastDeadline ? Step::LeaveAtDeadline : Step::Continue;
}

} // namespace radishcross::node
