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
  std::multimap<base::TimePoint, HedgeTimer *> Due;
};

/// The timer of one attempt, for as long as it is in flight.
class HedgeTimer {
public:
  /// Starts the second attempt; returns false where it may not start now, and
  /// is called again after the same time.
  using Start = std::function<bool()>;

  HedgeTimer(HedgeTimers &timers, base::Duration after, base::TimePoint now,
             Start start);
  ~HedgeTimer();
  HedgeTimer(const HedgeTimer &) = delete;
  HedgeTimer &operator=(const HedgeTimer &) = delete;

private:
  friend class HedgeTimers;
  void listAt(base::TimePoint time);
  void unlist();

  HedgeTimers &Timers;
  base::Duration After;
  Start OnDue;
  std::multimap<base::TimePoint, HedgeTimer *>::iterator Place;
};

} // namespace radishcross::http
