#include <LibCalls/BrokerFixture.h>
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

TEST_CASE("a target gets more than its rate limit while its node restarts") {
  for (const MilliRate limit : {0, 100, 2'000, 16'600}) {
    CAPTURE(limit);
    LimitedTarget it(limit);
    it.run(1s, 20ms);
    it.Starts.clear();
    it.KnownToCallers = limit;
    it.run(3s, 20ms);
    for (int n = 0; n < 4; ++n) {
      it.restartNode();
      it.run(1s, 20ms);
    }
    it.run(4s, 20ms);
    CHECK(it.mostStarts(Window) <= allowed(limit));
  }
}

TEST_CASE("a rate limit known to callers outlives the target's next answer") {
  LimitedTarget it({});
  it.KnownToCallers = 1'000;
  it.run(4s, 20ms);
  it.Starts.clear();
  it.run(2s, 20ms);
  CHECK(it.Starts.size() >= 95);
}

TEST_CASE(
    "a caller's node forgets a rate limit when the target's node is away") {
  BrokerFixture it;
  it.members({member("n1")});
  auto call = it.begin("/lookup");
  auto answer = ends(AttemptEnd::Answered);
  answer.Signals = TargetSignals{16'000, false, false};
  it.Node.attemptEnded(call, answer, at(it.Now));
  it.members({});
  it.pass(30s);
  it.members({member("n1")});
  CHECK(it.stepOf(it.begin("/lookup")).StatedRate == 16'000);
  SUBCASE("unless it has ended") {
    call = it.begin("/lookup");
    answer.Signals = TargetSignals{};
    it.Node.attemptEnded(call, answer, at(it.Now));
    CHECK_FALSE(it.stepOf(it.begin("/lookup")).StatedRate);
  }
  SUBCASE("unless another process has taken the target's place") {
    auto next = member("n1");
    next.Targets.front().Epoch = 1;
    it.members({next});
    CHECK_FALSE(it.stepOf(it.begin("/lookup")).StatedRate);
  }
}

TEST_CASE("a limit that only callers remember blocks a target for seconds") {
  LimitedTarget it({});
  it.KnownToCallers = 0;
  it.run(300ms, 20ms);
  it.Starts.clear();
  it.run(1s, 20ms);
  CHECK(it.Starts.size() >= 45);
}
