#include <LibCalls/BrokerFixture.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

using Kind = CallStep::Kind;

/// A broker with idempotent calls to targets that do not answer.
struct HedgeFixture : BrokerFixture {
  CallHandle beginLookup() { return begin("/lookup"); }
  std::optional<CallStep> hedge(CallHandle call) {
    return Node.hedge(call, at(Now));
  }
  CallStep end(CallHandle call, const CallStep &attempt, AttemptEnd how,
               ResultCode code = ResultCode::Ok,
               bool downstreamFailed = false) {
    auto result = ends(how, code);
    result.Attempt = attempt.Attempt;
    result.DownstreamFailed = downstreamFailed;
    return Node.attemptEnded(call, result, at(Now));
  }
  using BrokerFixture::end;
};

/// A call with two attempts in flight.
struct HedgedCall : HedgeFixture {
  HedgedCall() : Call(beginLookup()), First(stepOf(Call)) {
    pass(First.HedgeAfter);
    auto second = hedge(Call);
    REQUIRE(second);
    Second = *second;
  }
  CallStep endFirst(AttemptEnd how, ResultCode code = ResultCode::Ok) {
    return end(Call, First, how, code);
  }
  CallStep endSecond(AttemptEnd how, ResultCode code = ResultCode::Ok) {
    return end(Call, Second, how, code);
  }
  CallHandle Call;
  CallStep First;
  CallStep Second;
};

} // namespace

TEST_CASE("a silent call is hedged only if the retry budget allows it") {
  HedgeFixture it;
  const CallHandle calls[] = {it.beginLookup(), it.beginLookup()};
  for (const auto call : calls) {
    // The full deadline is passed on: a target that observes it must not end
    // the call when the hedged attempt starts.
    CHECK(it.stepOf(call).AttemptTimeout > 4900ms);
    CHECK(it.stepOf(call).Remaining > 4900ms);
  }
  it.pass(it.stepOf(calls[0]).HedgeAfter);
  const auto second = it.hedge(calls[0]);
  REQUIRE(second);
  CHECK(second->What == Kind::Send);
  CHECK(second->Retry);
  CHECK(second->To.Node != it.stepOf(calls[0]).To.Node);
  CHECK(second->HedgeAfter == 0s);
  CHECK_FALSE(it.hedge(calls[1]));
  checkAnswered(it.end(calls[0], *second, AttemptEnd::Answered));
  checkAnswered(it.end(calls[1], AttemptEnd::Answered));
}

TEST_CASE("a call has at most one hedged attempt") {
  HedgedCall it;
  CHECK_FALSE(it.hedge(it.Call));
  CHECK(it.endSecond(AttemptEnd::Broken).What == Kind::Await);
  CHECK_FALSE(it.hedge(it.Call));
  checkUnknown(it.endFirst(AttemptEnd::Broken));
}

TEST_CASE("a call awaits its first attempt however the hedged attempt fails") {
  const std::pair<AttemptEnd, ResultCode> failures[] = {
      {AttemptEnd::Broken, ResultCode::Ok},
      {AttemptEnd::TimedOut, ResultCode::Ok},
      {AttemptEnd::NotSent, ResultCode::Ok},
      {AttemptEnd::RefusedNotRun, ResultCode::Overloaded},
      {AttemptEnd::RefusedNotRun, ResultCode::TargetRefused},
      {AttemptEnd::RefusedNotRun, ResultCode::DeadlineExceeded}};
  for (const auto &[end, code] : failures) {
    HedgedCall it;
    CHECK(it.endSecond(end, code).What == Kind::Await);
    checkAnswered(it.endFirst(AttemptEnd::Answered));
  }
}

TEST_CASE("a call awaits the hedged attempt when its first one is lost") {
  for (const bool downstreamFailed : {false, true}) {
    HedgedCall it;
    const auto step = it.end(it.Call, it.First, AttemptEnd::Broken,
                             ResultCode::Ok, downstreamFailed);
    CHECK(step.What == Kind::Await);
    checkAnswered(it.endSecond(AttemptEnd::Answered));
  }
}

TEST_CASE("a hedged call is reported as not run only if neither attempt ran") {
  const auto refused = AttemptEnd::RefusedNotRun;
  const auto late = ResultCode::DeadlineExceeded;
  HedgedCall it;
  CHECK(it.endSecond(refused, late).What == Kind::Await);
  checkNotRun(it.endFirst(refused, late), late);
  HedgedCall lost;
  CHECK(lost.endFirst(AttemptEnd::TimedOut).What == Kind::Await);
  checkUnknown(lost.endSecond(refused, late));
}

TEST_CASE("a refused hedged attempt goes to a third target") {
  HedgeFixture it;
  it.members({member("n1"), member("n2"), member("n3")});
  const auto call = it.beginLookup();
  const auto first = it.stepOf(call);
  it.pass(first.HedgeAfter);
  const auto second = it.hedge(call);
  REQUIRE(second);
  const auto third =
      it.end(call, *second, AttemptEnd::RefusedNotRun, ResultCode::Overloaded);
  REQUIRE(third.What == Kind::Send);
  CHECK(third.To.Node != first.To.Node);
  CHECK(third.To.Node != second->To.Node);
  CHECK(it.end(call, third, AttemptEnd::RefusedNotRun, ResultCode::Overloaded)
            .What == Kind::Await);
  checkAnswered(it.end(call, first, AttemptEnd::Answered));
}

TEST_CASE("a superseded attempt no longer counts as in flight at its target") {
  HedgedCall it;
  checkAnswered(it.endSecond(AttemptEnd::Answered));
  it.Node.end(it.Call, at(it.Now));
  it.members({member(it.First.To.Node)});
  CHECK(it.stepOf(it.beginLookup()).Basis.InFlight == 0);
}

TEST_CASE("an attempt continues alone when no target is left to hedge it") {
  HedgeFixture it;
  const auto call = it.beginLookup();
  const auto first = it.stepOf(call);
  it.pass(first.HedgeAfter);
  it.members({member(first.To.Node)});
  CHECK_FALSE(it.hedge(call));
  it.members({member("n1"), member("n2")});
  CHECK(it.hedge(call));
}

TEST_CASE("no hedged attempt starts when too little time is left") {
  HedgeFixture it;
  const auto call = it.beginLookup();
  const auto first = it.stepOf(call);
  it.pass(first.AttemptTimeout - first.HedgeAfter / 4);
  CHECK_FALSE(it.hedge(call));
}

TEST_CASE("calls that may not be retried are not hedged") {
  HedgeFixture it;
  CallRequest withinRetry;
  withinRetry.WithinRetry = true;
  CallRequest brief;
  brief.Remaining = 1200ms;
  const CallHandle calls[] = {it.begin("/pay"),
                              it.begin("/lookup", withinRetry),
                              it.begin("/lookup", brief)};
  for (const auto call : calls) {
    CHECK(it.stepOf(call).HedgeAfter == 0s);
    CHECK_FALSE(it.hedge(call));
  }
  const auto ended = it.beginLookup();
  it.Node.end(ended, at(it.Now));
  CHECK_FALSE(it.hedge(ended));
}

TEST_CASE("attempts that end in any order keep the outcome, in-flight counts "
          "and attempt limit correct") {
  for (uint64_t seed = 0; seed < 3000; ++seed) {
    CAPTURE(seed);
    HedgeFixture it;
    base::Random random(seed);
    const std::vector<fleet::Member> nodes = {member("n1"), member("n2"),
                                              member("n3"), member("n4")};
    it.members(nodes);
    const auto call = it.beginLookup();
    std::vector<CallStep> inFlight = {it.stepOf(call)};
    int arrived = 0;
    bool mayHaveRun = false;
    CallStep last;
    while (!inFlight.empty()) {
      it.pass(inFlight.front().HedgeAfter / 2);
      if (auto more = it.hedge(call)) {
        for (const auto &one : inFlight)
          CHECK(one.To.Node != more->To.Node);
        inFlight.push_back(*more);
      }
      REQUIRE(inFlight.size() <= 2);
      const auto at = random.below(inFlight.size());
      const auto one = inFlight[at];
      inFlight.erase(inFlight.begin() + static_cast<ptrdiff_t>(at));
      const ResultCode codes[] = {
          ResultCode::Overloaded, ResultCode::Draining, ResultCode::NoTarget,
          ResultCode::TargetRefused, ResultCode::DeadlineExceeded};
      const auto end = static_cast<AttemptEnd>(1 + random.below(4));
      const bool refused = end == AttemptEnd::RefusedNotRun;
      const auto code = refused ? codes[random.below(5)] : ResultCode::Ok;
      mayHaveRun |= end == AttemptEnd::Broken || end == AttemptEnd::TimedOut;
      arrived += end == AttemptEnd::Broken || end == AttemptEnd::TimedOut ||
                         code == ResultCode::TargetRefused
                     ? 1
                     : 0;
      last = it.end(call, one, end, code);
      if (last.What == Kind::Send) {
        for (const auto &other : inFlight)
          CHECK(other.To.Node != last.To.Node);
        inFlight.push_back(last);
      }
      CHECK((last.What == Kind::Finish) == inFlight.empty());
    }
    CHECK(last.Outcome ==
          (mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun));
    CHECK(arrived <= 3);
    it.Node.end(call, at(it.Now));
    for (const auto &node : nodes) {
      it.members({node});
      it.pass(60s);
      CHECK(it.stepOf(it.beginLookup()).Basis.InFlight == 0);
    }
  }
}
