#include <LibHttp/HedgeTimers.h>

#include <utility>

namespace radishcross::http {

void HedgeTimers::tick(base::TimePoint now) {
  while (!TimersByDueTime.empty() && TimersByDueTime.begin()->first <= now) {
    auto &timer = *TimersByDueTime.begin()->second;
    timer.cancel();
    if (!timer.StartSecond())
      timer.schedule(now + timer.Delay);
  }
}

HedgeTimer::HedgeTimer(HedgeTimers &timers, base::Duration delay,
                       base::TimePoint now, StartFunction start)
    : Timers(timers), Delay(delay), StartSecond(std::move(start)) {
  schedule(now + Delay);
}

HedgeTimer::~HedgeTimer() { cancel(); }

void HedgeTimer::schedule(base::TimePoint time) {
  Entry = Timers.TimersByDueTime.emplace(time, this);
}

void HedgeTimer::cancel() {
  if (Entry != Timers.TimersByDueTime.end())
    Timers.TimersByDueTime.erase(Entry);
  Entry = Timers.TimersByDueTime.end();
}

} // namespace radishcross::http
