#include <LibHttp/RestLimit.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;
using http::RestLimit;

namespace {

base::TimePoint at(base::Duration passed) { return base::TimePoint{} + passed; }

} // namespace

TEST_CASE("the shortest rest after which a connection was lost counts") {
  RestLimit it;
  CHECK_FALSE(it.current(at(1s)));
  CHECK(it.lost(900ms, 1ms, at(1s)));
  CHECK(it.current(at(1s)) == 450ms);
  CHECK(it.lost(400ms, 1ms, at(2s)));
  CHECK(it.current(at(2s)) == 200ms);
  CHECK_FALSE(it.lost(900ms, 1ms, at(3s)));
  CHECK(it.current(at(3s)) == 200ms);
  CHECK(it.current(at(3s + RestLimit::Lifetime - 1us)) == 200ms);
  CHECK_FALSE(it.current(at(3s + RestLimit::Lifetime)));
}

TEST_CASE("a connection lost for another cause tells nothing of rests") {
  RestLimit it;
  CHECK_FALSE(it.lost(RestLimit::MinimumRest - 1us, 1ms, at(1s)));
  CHECK_FALSE(it.lost(900ms, RestLimit::MaximumSilence + 1us, at(1s)));
  CHECK_FALSE(it.current(at(1s)));
}
