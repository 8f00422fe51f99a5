#include <LibCalls/BrokerFixture.h>
#include <LibCalls/CallInvariants.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

using Kind = CallEvent::Kind;

/// Runs calls through a broker whose targets run, lose, refuse or answer them
/// at random by \p seed. Duplicates have the same key.
std::vector<CallEvent> explore(uint64_t seed) {
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  base::Random random(seed);
  std::vector<CallEvent> out;
  for (int n = 0; n < 300; ++n) {
    const bool payment = random.below(2) == 0;
    const auto key = "key" + std::to_string(random.below(40));
    const auto call = payment ? it.pay(key, 1, true) : it.begin("/lookup");
    const auto name = payment ? key : "lookup" + std::to_string(n);
    auto step = it.stepOf(call);
    while (step.What == CallStep::Kind::Send) {
      const auto end = static_cast<AttemptEnd>(random.below(5));
      const bool ran = end == AttemptEnd::Answered ||
                       (end >= AttemptEnd::Broken && random.below(2) == 0);
      if (ran)
        out.push_back(
            {at(it.Now), Kind::Ran, name, step.To.Node, {}, !payment});
      if (step.StoreAnswer)
        it.Node.storeAnswer(call, "answer " + name, at(it.Now));
      step = it.end(call, end);
    }
    CallEvent reported{at(it.Now), Kind::ReportedUnknown, name, {}, name,
                       !payment};
    if (step.What == CallStep::Kind::Replay)
      reported.Other = it.Node.storedAnswer(call).substr(7);
    if (step.Outcome == CallOutcome::Answered)
      reported.What = Kind::Answered;
    else if (step.Outcome == CallOutcome::NotRun && !payment)
      reported.What = Kind::ReportedNotRun;
    out.push_back(reported);
    it.Node.end(call, at(it.Now));
    it.pass(50ms);
  }
  return out;
}

} // namespace

TEST_CASE("each violated invariant is found by exactly its own check") {
  const std::vector<CallEvent> sound = {
      {at(0s), Kind::Announced, {}, "a", {}},
      {at(1s), Kind::Ran, "one", "a", {}},
      {at(1s), Kind::Answered, "one", {}, "one"},
      {at(1s), Kind::ReportedNotRun, "two", {}, {}},
      {at(2s), Kind::Ran, "three", "a", {}, true},
      {at(2s), Kind::Ran, "three", "b", {}, true},
      {at(2s), Kind::Aborted, "three", "b", {}},
      {at(3s), Kind::Leaving, {}, "a", {}},
      {at(3s), Kind::StopStarted, {}, "a", {}},
      {at(6s), Kind::Ran, "four", "a", {}}};
  CHECK(checkCalls(sound).empty());
  const std::pair<CallEvent, size_t> broken[] = {
      {{at(7s), Kind::Answered, "one", {}, "two"}, 0},
      {{at(7s), Kind::Truncated, "one", {}, {}}, 0},
      {{at(7s), Kind::ReportedNotRun, "one", {}, {}}, 1},
      {{at(7s), Kind::Ran, "two", "b", {}}, 1},
      {{at(7s), Kind::Ran, "one", "b", {}}, 2},
      {{at(7s), Kind::Ran, "five", "a", {}}, 3},
      {{at(7s), Kind::Aborted, "four", "a", {}}, 4}};
  for (const auto &[event, which] : broken) {
    auto list = sound;
    list.push_back(event);
    CHECK(checkCalls(list).size() == 1);
    const auto found = callInvariants()[which].Check(list);
    REQUIRE(found);
    CHECK(found->Event == sound.size());
  }
}

TEST_CASE("random faults and duplicates violate no invariant of calls") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    for (const auto &it : checkCalls(explore(seed)))
      FAIL(it.Text);
  }
}
