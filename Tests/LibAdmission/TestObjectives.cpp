#include <LibAdmission/TargetGate.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

using Kind = GateAnswer::Kind;

/// The gate of one target whose calls have latency objectives.
struct ObjectiveFixture {
  explicit ObjectiveFixture(uint32_t slots) {
    TargetGateSettings settings;
    settings.State = TargetState::Ready;
    settings.Slots = slots;
    settings.Connections = 120;
    Gate.configure(settings, at(0s));
  }
  GateAnswer arrive(Rank rank, base::Duration objective,
                    base::Duration passed = 0s, base::Duration remaining = 1s) {
    return Gate.arrive(++Last, rank, remaining, 0, at(passed), objective);
  }
  std::vector<GateAnswer> end(Ticket call, base::Duration passed) {
    return Gate.ended(call, AttemptEnd::Answered, at(passed));
  }
  /// Ends one call of a kind after \p taken, so that its slot time is known.
  void measure(Rank rank, base::Duration objective, base::Duration taken) {
    const auto call = arrive(rank, objective);
    end(call.Call, taken);
  }

  trace::NullRecorder Recorder;
  TargetGate Gate{"t", Recorder};
  Ticket Last = 0;
};

} // namespace

TEST_CASE("a call queues if its latency objective can be met and is refused at "
          "once otherwise") {
  ObjectiveFixture it(2);
  it.measure(Rank::Critical, 400ms, 50ms);
  for (int n = 0; n < 2; ++n)
    CHECK(it.arrive(Rank::Critical, 400ms).What == Kind::Run);
  // With two slots a call starts every 25 ms. Of the objective 75 ms are
  // reserved for the call itself; it may wait a quarter of the rest, 81 ms.
  for (int n = 0; n < 3; ++n)
    CHECK(it.arrive(Rank::Critical, 400ms).What == Kind::Queued);
  const auto refused = it.arrive(Rank::Critical, 400ms);
  CHECK(refused.What == Kind::Refuse);
  CHECK(refused.Code == ResultCode::Overloaded);
  CHECK(refused.RetryAfter >= 50ms);
  CHECK(refused.RetryAfter <= 334ms);
}

TEST_CASE("less urgent calls wait behind more urgent ones or are refused") {
  ObjectiveFixture it(1);
  it.measure(Rank::Critical, 400ms, 50ms);
  it.measure(Rank::Background, 400ms, 50ms);
  CHECK(it.arrive(Rank::Critical, 400ms).What == Kind::Run);
  CHECK(it.arrive(Rank::Critical, 400ms).What == Kind::Queued);
  CHECK(it.arrive(Rank::Background, 400ms).What == Kind::Refuse);
}

TEST_CASE("a call that misses its latency objective in the queue is not run") {
  ObjectiveFixture it(1);
  it.measure(Rank::Critical, 400ms, 50ms);
  CHECK(it.arrive(Rank::Critical, 400ms).What == Kind::Run);
  const auto waiting = it.arrive(Rank::Critical, 400ms);
  CHECK(it.Gate.tick(at(81ms)).empty());
  const auto refused = it.Gate.tick(at(82ms));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Call == waiting.Call);
  CHECK(refused[0].Code == ResultCode::Overloaded);
}

TEST_CASE("a short call may always wait a little") {
  ObjectiveFixture it(1);
  it.measure(Rank::Critical, 120ms, 30ms);
  CHECK(it.arrive(Rank::Critical, 400ms).What == Kind::Run);
  CHECK(it.arrive(Rank::Critical, 120ms).What == Kind::Queued);
  CHECK(it.Gate.tick(at(39ms)).empty());
  CHECK(it.Gate.tick(at(41ms)).size() == 1);
}

TEST_CASE("within a rank the call with the earliest latest start goes first") {
  ObjectiveFixture it(1);
  it.measure(Rank::Critical, 800ms, 10ms);
  it.measure(Rank::Critical, 120ms, 10ms);
  const auto running = it.arrive(Rank::Critical, 400ms);
  const auto wide = it.arrive(Rank::Critical, 800ms);
  const auto narrow = it.arrive(Rank::Critical, 120ms, 1ms);
  CHECK(wide.What == Kind::Queued);
  CHECK(narrow.What == Kind::Queued);
  const auto next = it.end(running.Call, 20ms);
  REQUIRE(next.size() == 1);
  CHECK(next[0].Call == narrow.Call);
}

TEST_CASE("calls with latency objectives may use all slots") {
  ObjectiveFixture it(6);
  it.arrive(Rank::Critical, 400ms);
  for (int n = 0; n < 5; ++n)
    CHECK(it.arrive(Rank::Background, 2s).What == Kind::Run);
}

TEST_CASE(
    "the time of calls with latency objectives does not reduce the limit") {
  ObjectiveFixture it(2);
  base::Duration passed = 0s;
  for (int n = 0; n < 400; ++n) {
    const auto first = it.arrive(Rank::Critical, 400ms, passed);
    const auto second = it.arrive(Rank::Critical, 400ms, passed);
    passed += n < 100 ? 20ms : 200ms;
    it.end(first.Call, passed);
    it.end(second.Call, passed);
  }
  CHECK(it.Gate.limit() == 2);
}

TEST_CASE(
    "a call whose answer the link cannot send in time is refused at once") {
  ObjectiveFixture it(6);
  it.measure(Rank::Background, 500ms, 60ms);
  auto arrive = [&it](base::Duration linkTime) {
    return it.Gate.arrive(++it.Last, Rank::Background, 2s, 0, at(1s), 500ms,
                          false, linkTime);
  };
  // The first call runs in any case, so that a change is noticed.
  CHECK(arrive(450ms).What == Kind::Run);
  CHECK(arrive(300ms).What == Kind::Run);
  const auto refused = arrive(450ms);
  CHECK(refused.What == Kind::Refuse);
  CHECK(refused.Code == ResultCode::Overloaded);
  CHECK(refused.RetryAfter == 450ms);
}
