#pragma once

#include <LibBase/Clock.h>

#include <functional>
#include <map>

namespace radishcross::http {

class HedgeTimer;

/// Timers of attempts in flight that may be hedged, ordered by the time at
/// which the broker is to be asked for a second attempt.
class HedgeTimers {
public:
  /// Fires every timer that is due.
  void tick(base::TimePoint now);

private:
  friend class HedgeTimer;
  std::multimap<base::TimePoint, HedgeTimer *> TimersByDueTime;
};

/// Hedge timer of one attempt; lives as long as the attempt is in flight.
class HedgeTimer {
public:
  /// Starts the second attempt. Returns false if it may not start now, and is
  /// then called again after the same delay.
  using StartFunction = std::function<bool()>;

  HedgeTimer(HedgeTimers &timers, base::Duration delay, base::TimePoint now,
             StartFunction start);
  ~HedgeTimer();
  HedgeTimer(const HedgeTimer &) = delete;
  HedgeTimer &operator=(const HedgeTimer &) = delete;

private:
  friend class HedgeTimers;
  void schedule(base::TimePoint time);
  void cancel();

  HedgeTimers &Timers;
  base::Duration Delay;
  StartFunction StartSecond;
  std::multimap<base::TimePoint, HedgeTimer *>::iterator Entry;
};

} // namespace radishcross::http
