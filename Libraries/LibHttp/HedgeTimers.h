#pragma once

#include <LibBase/Clock.h>

#include <functional>
#include <map>

namespace radishcross::http {

class HedgeTimer;

/// The attempts in flight beside which a second one may start, by the time at
/// which the broker is to be asked for it.
class HedgeTimers {
public:
  /// Lets each timer whose time has come start its second attempt.
  void tick(base::TimePoint now);

private:
  friend class HedgeTimer;
  std::multimap<base::TimePoint, HedgeTimer *> TimersByDueTime;
};

/// The timer of one attempt, for as long as it is in flight.
class HedgeTimer {
public:
  /// Starts the second attempt; returns false where it may not start now, and
  /// is called again after the same time.
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
