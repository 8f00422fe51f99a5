#include <LibCalls/BrokerBench.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;

namespace {

using Kind = CallStep::Kind;

/// A broker with idempotent calls whose targets are silent.
struct CutBench : BrokerBench {
  CallHandle lookUp() { return begin("/lookup"); }
  bool cut(CallHandle call) { return Node.cutAttempt(call, at(Now)); }
};

} // namespace

TEST_CASE("of two silent calls only that is cut whose retry the budget pays") {
  CutBench it;
  const CallHandle calls[] = {it.lookUp(), it.lookUp()};
  for (const auto call : calls) {
    // The deadline goes out whole: a target that works to it must not end
    // the call at the time of a cut.
    CHECK(it.stepOf(call).AttemptTimeout > 4900ms);
    CHECK(it.stepOf(call).Remaining > 4900ms);
  }
  it.pass(it.stepOf(calls[0]).CutAfter);
  CHECK(it.cut(calls[0]));
  CHECK_FALSE(it.cut(calls[1]));
  CHECK(it.end(calls[0], AttemptEnd::TimedOut).What == Kind::Send);
  checkAnswered(it.end(calls[1], AttemptEnd::Answered));
}

TEST_CASE(
    "a call that was cut gets its second attempt, whoever asks meanwhile") {
  for (const bool below : {false, true}) {
    CutBench it;
    const CallHandle calls[] = {it.lookUp(), it.lookUp()};
    it.pass(it.stepOf(calls[0]).CutAfter);
    REQUIRE(it.cut(calls[0]));
    CHECK_FALSE(it.cut(calls[0]));
    checkUnknown(it.end(calls[1], AttemptEnd::Broken));
    // Also where a deeper call ended because of the cut.
    auto result = ends(AttemptEnd::TimedOut);
    result.FailedBelow = below;
    const auto next = it.Node.attemptEnded(calls[0], result, at(it.Now));
    REQUIRE(next.What == Kind::Send);
    CHECK(next.Retry);
    CHECK_FALSE(it.cut(calls[0]));
    checkAnswered(it.end(calls[0], AttemptEnd::Answered));
  }
}

TEST_CASE("an attempt goes on when no target is left for a second one") {
  CutBench it;
  const auto call = it.lookUp();
  const auto first = it.stepOf(call);
  it.pass(first.CutAfter);
  it.members({member(first.To.Node)});
  CHECK_FALSE(it.cut(call));
  it.members({member("n1"), member("n2")});
  CHECK(it.cut(call));
}

TEST_CASE("an attempt is not cut when too little time is left") {
  CutBench it;
  const auto call = it.lookUp();
  const auto first = it.stepOf(call);
  it.pass(first.AttemptTimeout - first.CutAfter / 4);
  CHECK_FALSE(it.cut(call));
}

TEST_CASE("calls that may not be sent again are never cut") {
  CutBench it;
  CallRequest below;
  below.BelowRetry = true;
  CallRequest brief;
  brief.Remaining = 1200ms;
  const CallHandle calls[] = {it.begin("/pay"), it.begin("/lookup", below),
                              it.begin("/lookup", brief)};
  for (const auto call : calls) {
    CHECK(it.stepOf(call).CutAfter == 0s);
    CHECK_FALSE(it.cut(call));
  }
  const auto ended = it.lookUp();
  it.Node.end(ended, at(it.Now));
  CHECK_FALSE(it.cut(ended));
}
