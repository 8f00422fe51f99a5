#include <LibFleet/TopicFollower.h>

#include <algorithm>
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
  it.followed(true, false, 6, 6);
  CHECK(it.next().What == Kind::Pause);
  CHECK(it.isSpacing());
  CHECK(it.next().What == Kind::Follow);
  CHECK_FALSE(it.isSpacing());
  it.followed(true, false, 6, 6); // A wait that brought nothing.
  auto step = it.next();
  CHECK(step.What == Kind::Follow);
  CHECK(step.From == 6);
}

TEST_CASE("of records that come together the newest are listed") {
  TopicFollower it({}, 7);
  it.listed(true, 5);
  it.followed(true, false, 9, 9);
  CHECK(it.next().What == Kind::Pause);
  CHECK(it.next().What == Kind::List);
  it.listed(true, 12);
  CHECK(it.next().What == Kind::Pause);
  CHECK(it.isSpacing());
  CHECK(it.next().What == Kind::List);
  it.listed(true, 12);
  auto step = it.next();
  CHECK(step.What == Kind::Follow);
  CHECK(step.From == 12);
}

TEST_CASE("what an answer had no room for is listed at once") {
  TopicFollower it({}, 7);
  it.listed(true, 5);
  it.followed(true, false, 6, 20);
  CHECK(it.next().What == Kind::List);
  it.listed(true, 20);
  CHECK(it.next().What == Kind::Pause);
  // Nor does an answer without any record have it asked again and again.
  TopicFollower other({}, 7);
  other.listed(true, 5);
  other.followed(true, false, 5, 20);
  CHECK(other.next().What == Kind::List);
  other.listed(true, 20);
  CHECK(other.next().What == Kind::Pause);
}

TEST_CASE("a burst costs few reads and no version comes late") {
  constexpr auto CallTime = 10ms;
  // Single versions, the bursts that operators send, and a flood.
  for (base::Duration gap : {3000ms, 1100ms, 700ms, 250ms, 60ms, 5ms}) {
    INFO(gap.count());
    constexpr base::Duration First = 2s;
    constexpr base::Duration Last = 12s;
    constexpr base::Duration Until = 16s;
    auto endAt = [&](base::Duration at) -> uint64_t {
      if (at < First)
        return 1;
      return 2 + static_cast<uint64_t>((std::min(at, Last) - First) / gap);
    };
    auto writtenAt = [&](uint64_t number) {
      return First + gap * static_cast<int64_t>(number - 1);
    };
    TopicFollower it({}, 7);
    uint64_t held = 0;
    uint64_t from = 0;
    size_t reads = 0;
    base::Duration latest{};
    for (base::Duration now{}; now < Until;) {
      auto step = it.next();
      if (step.What == Kind::Pause) {
        now += step.For;
        continue;
      }
      ++reads;
      // One record fits an answer.
      bool isList = step.What == Kind::List;
      while (!isList && endAt(now) <= step.From && now < Until)
        now += 1ms;
      auto end = endAt(now);
      auto next = isList ? end : std::min(end, step.From + 1);
      now += CallTime;
      if (next > held && next > 1)
        latest = std::max(latest, now - writtenAt(std::max<uint64_t>(held, 1)));
      held = std::max(held, next);
      from = next;
      if (isList)
        it.listed(true, end);
      else
        it.followed(true, false, next, end);
    }
    CHECK(from == endAt(Until));
    // What was written just after a read waits for the next one.
    CHECK(latest <= 1s + 4 * CallTime);
    auto versions = endAt(Until) - 1;
    CHECK(reads <= std::min<size_t>(2 * versions + 3, 16));
  }
}

TEST_CASE("a history that was dropped has the keys listed again, at once") {
  TopicFollower it({}, 7);
  it.listed(true, 5);
  it.followed(false, true, 5, 0);
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
    it.followed(false, false, 5, 0);
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
