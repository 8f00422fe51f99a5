#include <LibAdmission/LimitedTarget.h>
#include <LibBase/Random.h>
#include <LibCalls/BrokerFixture.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
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

TEST_CASE("a burst after a pause exceeds the rate limit") {
  for (const MilliRate limit : {0, 2'000, 16'600}) {
    CAPTURE(limit);
    LimitedTarget it(limit);
    it.run(5s, 1s);
    it.run(5s, 10min);
    it.Starts.clear();
    it.run(10s, 5ms);
    CHECK(it.mostStarts(Window) <= allowed(limit));
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

TEST_CASE("a rate limit is held against another target at the address") {
  LimitedTarget it(0);
  it.run(4s, 20ms);
  auto next = it.record();
  next.TargetId = "u";
  it.Gate->targetsChanged({next}, at(it.Now));
  Arrival arrival;
  arrival.ServiceName = Lookup;
  arrival.TargetId = "u";
  arrival.Remaining = 1s;
  for (uint32_t n = 0; n < it.Slots; ++n)
    CHECK(it.Gate->arrive(arrival, at(it.Now)).What == GateAnswer::Kind::Run);
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

TEST_CASE("calls that can wait take the tokens of those that cannot") {
  LimitedTarget it(10'000);
  it.run(1s, 20ms);
  it.arrive(Rank::Standard, 100ms);
  it.run(1s, 20ms);
  it.Starts.clear();
  for (int n = 0; n < 20; ++n) {
    it.arrive(Rank::Standard, 100ms);
    it.run(250ms, 20ms);
  }
  const auto isShort = [](const auto &one) { return one.Objective == 100ms; };
  CHECK(std::count_if(it.Starts.begin(), it.Starts.end(), isShort) == 20);
  CHECK(it.Starts.size() >= 45);
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

namespace {

/// A target's statements over time.
struct Statement {
  base::Duration At{};
  uint64_t Epoch = 0;
  std::optional<MilliRate> Limit;
};

/// Returns the highest limit stated between two times, or nothing unless one
/// process stated a limit all the while.
std::optional<MilliRate> highestLimit(const std::vector<Statement> &statements,
                                      base::Duration from,
                                      base::Duration until) {
  std::optional<MilliRate> out;
  std::optional<uint64_t> epoch;
  for (size_t n = 0; n < statements.size(); ++n) {
    const auto &it = statements[n];
    const bool isOver =
        n + 1 < statements.size() && statements[n + 1].At <= from;
    if (isOver || it.At >= until)
      continue;
    if (!it.Limit || epoch.value_or(it.Epoch) != it.Epoch)
      return std::nullopt;
    epoch = it.Epoch;
    out = std::max(*it.Limit, out.value_or(0));
  }
  return out;
}

/// Changes limits and restarts both sides at random for a minute.
std::vector<Statement> runAtRandom(LimitedTarget &it, base::Random &random) {
  constexpr std::optional<MilliRate> Limits[] = {std::nullopt, 0,      100,
                                                 2'000,        10'000, 40'000};
  constexpr Rank Ranks[] = {Rank::Critical, Rank::Standard, Rank::Background};
  std::vector<Statement> out{{it.Now, it.Epoch, it.Limit}};
  while (it.Now < 1min) {
    const auto event = random.below(8);
    if (event == 0)
      it.restartTarget();
    if (event <= 3)
      it.Limit = Limits[random.below(std::size(Limits))];
    if (event <= 3)
      out.push_back({it.Now, it.Epoch, it.Limit});
    if (event >= 6)
      it.restartNode();
    const base::Duration interval = 5ms * (1 + random.below(8));
    for (uint64_t n = 0; n <= random.below(4); ++n)
      it.run(5ms * (1 + random.below(300)), interval,
             Ranks[random.below(std::size(Ranks))]);
    it.KnownToCallers = it.Limit;
  }
  return out;
}

} // namespace

TEST_CASE(
    "a rate limit is exceeded while limits change and processes restart") {
  constexpr base::Duration Notice = 3s;
  size_t windows = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    base::Random random(seed);
    LimitedTarget it(10'000);
    const auto statements = runAtRandom(it, random);
    for (size_t n = 0; n < it.Starts.size(); ++n) {
      const auto from = it.Starts[n].At;
      const auto limit = highestLimit(statements, from - Notice, from + Window);
      if (!limit || from < Notice)
        continue;
      ++windows;
      size_t starts = 0;
      for (size_t other = n;
           other < it.Starts.size() && it.Starts[other].At < from + Window;
           ++other)
        ++starts;
      CHECK(starts <= allowed(*limit));
    }
  }
  CHECK(windows > 1'000);
}
