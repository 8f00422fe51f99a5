#include <LibAdmission/Patience.h>

#include <LibBalance/TimeEstimate.h>

#include <algorithm>

namespace radishcross::admission {

namespace {

using base::Duration;

/// For a call with a latency objective: the time reserved for running it, as a
/// percentage of its mean slot time and at most of its objective; and the
/// percentage of the rest that it may wait. The remainder is for calls slower
/// than the mean and for the network.
constexpr int64_t NeededPercent = 150;
constexpr int64_t MaximumNeededPercent = 75;
constexpr int64_t PatiencePercent = 25;
/// A call may always wait this long, up to a third of its objective: short
/// calls are mostly downstream calls of others, which fail with them.
constexpr Duration ShortPatience = std::chrono::milliseconds(40);

/// Percentage of the time that a nested call has beyond its own slot time that
/// it may wait. The work above it needs the rest.
constexpr int64_t NestedPatiencePercent = 50;

/// The objective of a nested call is not that of the work above it, which only
/// fails at the deadline. That work holds a slot for as long as its nested call
/// waits, so the call doesn't wait while another target may have a slot free.
Duration nestedPatienceOf(const WaitingCall &call, Duration remaining) {
  if (call.CanGoElsewhere)
    return Duration::zero();
  const auto needed = std::min(call.Expected * NeededPercent / 100,
                               remaining * MaximumNeededPercent / 100);
  const auto spare = remaining - needed - call.LinkTime;
  return std::max(spare, Duration::zero()) * NestedPatiencePercent / 100;
}

} // namespace

Duration patienceOf(const WaitingCall &call, Duration remaining) {
  if (call.LatencyObjective <= Duration::zero())
    return remaining - std::min(call.Expected, remaining / 2);
  if (call.IsNested)
    return nestedPatienceOf(call, remaining);
  const auto useful =
      std::min(call.LatencyObjective, remaining) - call.LinkTime;
  const auto needed = std::min(call.Expected * NeededPercent / 100,
                               useful * MaximumNeededPercent / 100);
  return std::max((useful - needed) * PatiencePercent / 100,
                  std::min(ShortPatience, useful / 3));
}

bool isTooLateOnLink(const WaitingCall &call, Duration remaining) {
  if (call.LinkTime <= Duration::zero() ||
      call.LatencyObjective <= Duration::zero())
    return false;
  const auto useful =
      call.IsNested ? remaining : std::min(call.LatencyObjective, remaining);
  // A call that would be late without a wait is late with one.
  balance::WorkAhead work;
  work.HasFreeSlot = true;
  work.SlotTime = call.Expected;
  work.LinkTime = call.LinkTime;
  return balance::estimateTime(work).Completion > useful;
}

} // namespace radishcross::admission
