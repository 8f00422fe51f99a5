#include <LibHttp/HedgeTimers.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::http;
using namespace std::chrono_literals;

namespace {

struct TimersFixture {
  HedgeTimers Timers;
  int EndlessExchange = 0;
  bool MayStart = false;

  HedgeTimer::StartFunction start() {
    return [this] {
      ++EndlessExchange;
      return MayStart;
    };
  }
  void tickAt(base::Duration passed) {
    Timers.tick(base::TimePoint{} + passed);
  }
};

} // namespace

TEST_CASE("a due hedge timer asks for a second attempt until one has started") {
  TimersFixture it;
  HedgeTimer timer(it.Timers, 1s, {}, it.start());
  it.tickAt(999ms);
  CHECK(it.EndlessExchange == 0);
  it.tickAt(1s);
  it.tickAt(1900ms);
  CHECK(it.EndlessExchange == 1);
  it.MayStart = true;
  it.tickAt(2s);
  CHECK(it.EndlessExchange == 2);
  it.tickAt(9s);
  CHECK(it.EndlessExchange == 2);
}

TEST_CASE("a finished attempt asks for no second one") {
  TimersFixture it;
  { HedgeTimer timer(it.Timers, 1s, {}, it.start()); }
  it.tickAt(1s);
  CHECK(it.EndlessExchange == 0);
}
