#include <LibHttp/HedgeTimers.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::http;
using namespace std::chrono_literals;

namespace {

struct TimersBench {
  HedgeTimers Timers;
  int Asked = 0;
  bool MayStart = false;

  HedgeTimer::Start start() {
    return [this] {
      ++Asked;
      return MayStart;
    };
  }
  void tickAt(base::Duration passed) {
    Timers.tick(base::TimePoint{} + passed);
  }
};

} // namespace

TEST_CASE("a second attempt is asked for when its time has come, until it has "
          "started") {
  TimersBench it;
  HedgeTimer timer(it.Timers, 1s, {}, it.start());
  it.tickAt(999ms);
  CHECK(it.Asked == 0);
  it.tickAt(1s);
  it.tickAt(1900ms);
  CHECK(it.Asked == 1);
  it.MayStart = true;
  it.tickAt(2s);
  CHECK(it.Asked == 2);
  it.tickAt(9s);
  CHECK(it.Asked == 2);
}

TEST_CASE("an attempt that has ended asks for no second one") {
  TimersBench it;
  { HedgeTimer timer(it.Timers, 1s, {}, it.start()); }
  it.tickAt(1s);
  CHECK(it.Asked == 0);
}
