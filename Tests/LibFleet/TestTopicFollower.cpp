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

/// A read that returned records up to \p next, of \p end in the store, of \p
/// bytes in total.
fleet::TopicRead reached(uint64_t next, uint64_t end, size_t bytes = 0) {
  fleet::TopicRead out;
  out.Reached = true;
  out.Next = next;
  out.End = end;
  out.Bytes = bytes;
  return out;
}

fleet::TopicRead expired() {
  fleet::TopicRead out;
  out.Expired = true;
  return out;
}

fleet::TopicRead unreachable() {
  fleet::TopicRead out;
  out.Unreachable = true;
  return out;
}

} // namespace

TEST_CASE("the keys are listed once, then new records are followed") {
  TopicFollower it({}, 7);
  CHECK(it.next().What == Kind::List);
  CHECK_FALSE(it.hasListed());
  it.listed(reached(5, 5));
  CHECK(it.hasListed());
  CHECK(it.next().What == Kind::Follow);
  CHECK(it.next().From == 5);
  it.followed(reached(6, 6));
  CHECK(it.next().What == Kind::Pause);
  CHECK(it.isSpacing());
  CHECK(it.next().What == Kind::Follow);
  CHECK_FALSE(it.isSpacing());
  it.followed(reached(6, 6)); // A long poll that returned nothing.
  auto step = it.next();
  CHECK(step.What == Kind::Follow);
  CHECK(step.From == 6);
}

TEST_CASE("the keys are listed at once if an answer had no room for the newest "
          "record") {
  TopicFollower it({}, 7);
  it.listed(reached(5, 5));
  it.followed(reached(6, 20));
  CHECK(it.next().What == Kind::List);
  it.listed(reached(20, 20));
  CHECK(it.next().What == Kind::Pause);
  CHECK(it.isSpacing());
  CHECK(it.next().What == Kind::Follow);
  // The same for an answer without any record, which is not requested
  // repeatedly.
  TopicFollower other({}, 7);
  other.listed(reached(5, 5));
  other.followed(reached(5, 20));
  CHECK(other.next().What == Kind::List);
  other.listed(reached(20, 20));
  CHECK(other.next().What == Kind::Pause);
}

TEST_CASE("a burst costs few reads and no version is late") {
  constexpr auto CallTime = 10ms;
  // Single versions, bursts as sent by operators, and a flood.
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
        now += step.Wait;
        continue;
      }
      ++reads;
      // An answer has room for one record.
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
        it.listed(reached(end, end));
      else
        it.followed(reached(next, end));
    }
    CHECK(from == endAt(Until));
    // A record written just after a read waits for the next read.
    CHECK(latest <= 1s + 4 * CallTime);
    auto versions = endAt(Until) - 1;
    CHECK(reads <= std::min<size_t>(versions + 3, 24));
  }
}

TEST_CASE("the keys are listed again at once after the history was dropped") {
  TopicFollower it({}, 7);
  it.listed(reached(5, 5));
  it.followed(expired());
  CHECK(it.next().What == Kind::List);
  it.listed(reached(3, 3)); // A stale list: following continues from its end.
  CHECK(it.next().From == 3);
}

TEST_CASE("pauses after failures grow up to a bound") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    fleet::TopicFollowerSettings settings;
    TopicFollower it(settings, seed);
    for (int n = 0; n < 12; ++n) {
      it.listed({});
      auto step = it.next();
      REQUIRE(step.What == Kind::Pause);
      CHECK(step.Wait >= settings.ShortestPause);
      CHECK(step.Wait <= settings.LongestPause);
      CHECK(it.next().What == Kind::List);
    }
    it.listed(reached(5, 5));
    CHECK(it.next().What == Kind::Follow);
    it.followed({});
    CHECK(it.next().What == Kind::Pause);
    // Many records may have been missed, of which only the newest matter.
    CHECK(it.next().What == Kind::List);
  }
}

TEST_CASE("a topic that is only listed is listed at growing intervals") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    auto settings = listing();
    TopicFollower it(settings, seed);
    auto longest = settings.FirstRelist;
    for (int n = 0; n < 6; ++n) {
      CHECK(it.next().What == Kind::List);
      it.listed(reached(5, 5));
      auto step = it.next();
      REQUIRE(step.What == Kind::Pause);
      CHECK(step.Wait >= longest / 2);
      CHECK(step.Wait <= longest);
      longest = std::min(longest * 2, settings.LongestRelist);
    }
  }
}

TEST_CASE("a requested list skips one pause") {
  TopicFollower it(listing(), 7);
  CHECK(it.next().What == Kind::List);
  it.listNow();
  it.listed(reached(5, 5));
  CHECK(it.next().What == Kind::List);
  it.listed(reached(6, 6));
  CHECK(it.next().What == Kind::Pause);
}

TEST_CASE("an unreachable store is retried soon") {
  // After a partition a zone has 3 s to catch up; a connection attempt begun
  // during the partition takes one of them, a large record another.
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    TopicFollower it({}, seed);
    it.listed(reached(5, 5));
    for (int n = 0; n < 12; ++n) {
      it.followed(unreachable());
      auto step = it.next();
      REQUIRE(step.What == Kind::Pause);
      CHECK(step.Wait <= 400ms);
      CHECK(it.next().What == Kind::List);
    }
  }
}

TEST_CASE(
    "reads of large records are spaced less, as their transfer takes time") {
  TopicFollower it({}, 7);
  it.listed(reached(5, 5));
  it.followed(reached(6, 6, 250UL << 10));
  CHECK(it.next().Wait == 200ms);
  CHECK(it.next().What == Kind::Follow);
  it.followed(reached(7, 9, 250UL << 10));
  CHECK(it.next().What == Kind::List);
  it.listed(reached(9, 9, 250UL << 10));
  CHECK(it.next().Wait == 200ms);
  CHECK(it.next().What == Kind::Follow);
  it.followed(reached(10, 10, 1UL << 10));
  CHECK(it.next().Wait == 1s);
}
