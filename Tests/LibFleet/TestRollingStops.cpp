#include <LibFleet/RollingStops.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

TEST_CASE("no peer sees a draining node's target as ready for long during a "
          "rolling restart") {
  for (uint64_t seed : {1, 2}) {
    CAPTURE(seed);
    RollingStops mesh(seed, 60);
    mesh.restartAll();
    auto delays = mesh.delays();
    REQUIRE(delays.size() == 60 * 59);
    CHECK(delays[delays.size() * 99 / 100] < 500ms);
    CHECK(delays.back() < 2s);
  }
}
