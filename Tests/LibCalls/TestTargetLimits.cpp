#include <LibCalls/LimitedTarget.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;

namespace {

constexpr auto Window = 4s;

/// Calls that a target may get in a Window.
size_t allowed(MilliRate limit) {
  return static_cast<size_t>(limit * 3 / 2 * Window.count() / 1000 + 5);
}

} // namespace

TEST_CASE("a target gets more calls than the rate limit that it states") {
  for (const MilliRate limit : {0, 100, 2'000, 16'600, 24'200}) {
    CAPTURE(limit);
    LimitedTarget it(limit);
    it.run(1s, 20ms);
    it.Starts.clear();
    it.run(20s, 20ms);
    CHECK(it.mostStarts(Window) <= allowed(limit));
    // Less than the target accepts would be a loss to its callers.
    CHECK(it.Starts.size() + 5 >= static_cast<size_t>(limit / 50));
  }
}

TEST_CASE("a rate limit is held against the target's next process") {
  LimitedTarget it(1'000);
  it.run(4s, 20ms);
  it.restartTarget();
  it.Starts.clear();
  it.run(2s, 20ms);
  CHECK(it.Starts.size() >= 95);
}

TEST_CASE("a rate limit is kept after the target has ceased to state it") {
  LimitedTarget it(1'000);
  it.run(4s, 20ms);
  it.Limit.reset();
  it.run(2s, 20ms);
  it.Starts.clear();
  it.run(2s, 20ms);
  CHECK(it.Starts.size() >= 95);
}

TEST_CASE("a call that the rate limit leaves no room for waits for it") {
  for (const MilliRate limit : {0, 50, 1'000, 8'000}) {
    CAPTURE(limit);
    LimitedTarget it(limit);
    it.run(4s, 20ms);
    it.Refused.clear();
    const auto queuedBefore = it.Queued.size();
    it.run(2s, 20ms);
    REQUIRE(it.Refused.size() > 80);
    for (const auto &answer : it.Refused) {
      CHECK(answer.RetryAfter >= 50ms);
      CHECK(answer.RetryAfter <= 1s);
    }
    CHECK(it.Queued.size() <= queuedBefore + 4);
  }
}

TEST_CASE("an urgent call is refused for tokens spent on background calls") {
  LimitedTarget it(10'000);
  it.run(2s, 20ms, Rank::Background);
  it.arrive(Rank::Critical);
  it.run(200ms, 20ms, Rank::Background);
  it.Starts.clear();
  for (int n = 0; n < 20; ++n) {
    it.run(245ms, 20ms, Rank::Background);
    it.arrive(Rank::Critical);
    it.run(5ms, 20ms, Rank::Background);
  }
  it.run(100ms, 20ms, Rank::Background);
  CHECK(it.startsOf(Rank::Critical) == 20);
  CHECK(it.startsOf(Rank::Background) >= 20);
}
