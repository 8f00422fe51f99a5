#include <LibFleet/TopicFollower.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;
using fleet::TopicFollower;
using Kind = fleet::TopicStep::Kind;

namespace {

fleet::TopicFollowerSettings listing() {
  fleet::TopicFollowerSettings out;
  out.ListsOnly = true;
  return out;
}

} // namespace

TEST_CASE("keys are listed once, then what is added is followed") {
  TopicFollower it({}, 7);
  CHECK(it.next().What == Kind::List);
  CHECK_FALSE(it.hasListed());
  it.listed(true, 5);
  CHECK(it.hasListed());
  CHECK(it.next().What == Kind::Follow);
  CHECK(it.next().From == 5);
  it.followed(true, false, 9);
  CHECK(it.next().From == 9);
  it.followed(true, false, 9); // A wait that brought nothing.
  CHECK(it.next().From == 9);
}

TEST_CASE("a history that was dropped has the keys listed again, at once") {
  TopicFollower it({}, 7);
  it.listed(true, 5);
  it.followed(false, true, 5);
  CHECK(it.next().What == Kind::List);
  it.listed(true, 3); // A stale list: what it lacks is followed from there.
  CHECK(it.next().From == 3);
}

TEST_CASE("failures are followed by pauses that grow up to a bound") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    fleet::TopicFollowerSettings settings;
    TopicFollower it(settings, seed);
    for (int n = 0; n < 12; ++n) {
      it.listed(false, 0);
      auto step = it.next();
      REQUIRE(step.What == Kind::Pause);
      CHECK(step.For >= settings.ShortestPause);
      CHECK(step.For <= settings.LongestPause);
      CHECK(it.next().What == Kind::List);
    }
    it.listed(true, 5);
    CHECK(it.next().What == Kind::Follow);
    it.followed(false, false, 5);
    CHECK(it.next().What == Kind::Pause);
    CHECK(it.next().What == Kind::Follow);
  }
}

TEST_CASE("a topic that is only listed is listed at intervals that grow") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    auto settings = listing();
    TopicFollower it(settings, seed);
    auto longest = settings.FirstRelist;
    for (int n = 0; n < 6; ++n) {
      CHECK(it.next().What == Kind::List);
      it.listed(true, 5);
      auto step = it.next();
      REQUIRE(step.What == Kind::Pause);
      CHECK(step.For >= longest / 2);
      CHECK(step.For <= longest);
      longest = std::min(longest * 2, settings.LongestRelist);
    }
  }
}

TEST_CASE("a list that is asked for follows without a pause, once") {
  TopicFollower it(listing(), 7);
  CHECK(it.next().What == Kind::List);
  it.listSoon();
  it.listed(true, 5);
  CHECK(it.next().What == Kind::List);
  it.listed(true, 6);
  CHECK(it.next().What == Kind::Pause);
}
