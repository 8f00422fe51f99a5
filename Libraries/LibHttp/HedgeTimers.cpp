#include <LibHttp/HedgeTimers.h>

#include <utility>

namespace radishcross::http {

void HedgeTimers::tick(base::TimePoint now) {
  while (!Due.empty() && Due.begin()->first <= now) {
    auto &timer = *Due.begin()->second;
    timer.unlist();
    if (!timer.OnDue())
      timer.listAt(now + timer.After);
  }
}

HedgeTimer::HedgeTimer(HedgeTimers &timers, base::Duration after,
                       base::TimePoint now, Start start)
    : Timers(timers), After(after), OnDue(std::move(start)) {
  listAt(now + After);
}

HedgeTimer::~HedgeTimer() { unlist(); }

void HedgeTimer::listAt(base::TimePoint time) {
  Place = Timers.Due.emplace(time, this);
}

void HedgeTimer::unlist() {
  if (Place != Timers.Due.end())
    Timers.Due.erase(Place);
  Place = Timers.Due.end();
}

} // namespace radishcross::http
