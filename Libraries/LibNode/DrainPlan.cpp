#include <LibNode/DrainPlan.h>

#include <chrono>

namespace radishcross::node {

namespace {

using namespace std::chrono_literals;

/// With the listeners closed nothing can come any more; this lets the last
/// answers' bytes go out.
constexpr base::Duration QuietBeforeStop = 100ms;

/// The part of the grace time kept for the end of the process, as a divisor.
constexpr int MarginDivisor = 8;

} // namespace

bool DrainPlan::start(base::Duration grace, base::TimePoint now) {
  if (StartedAt)
    return false;
  StartedAt = LastBusyAt = now;
  Grace = grace;
  return true;
}

base::Duration DrainPlan::longest() const {
  return Grace - Grace / MarginDivisor - QuietBeforeStop;
}

DrainPlan::Step DrainPlan::look(size_t inFlight, base::TimePoint now) {
  if (!StartedAt)
    return Step::Serve;
  if (HasLeft)
    return Step::Left;
  if (inFlight > 0)
    LastBusyAt = now;
  bool isQuiet = now - LastBusyAt >= QuietBeforeStop;
  bool isLate = now - *StartedAt >= longest() + QuietBeforeStop;
  HasLeft = isQuiet || isLate;
  if (isQuiet)
    return Step::Quiet;
  return isLate ? Step::Late : Step::Serve;
}

} // namespace radishcross::node
