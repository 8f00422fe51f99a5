#include <LibCalls/BrokerBench.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;

namespace {

using Kind = CallStep::Kind;

/// A broker with idempotent calls whose targets are silent.
struct HedgeBench : BrokerBench {
  CallHandle lookUp() { return begin("/lookup"); }
  std::optional<CallStep> hedge(CallHandle call) {
    return Node.hedge(call, at(Now));
  }
  CallStep end(CallHandle call, const CallStep &attempt, AttemptEnd how,
               ResultCode code = ResultCode::Ok, bool failedBelow = false) {
    auto result = ends(how, code);
    result.Attempt = attempt.Attempt;
    result.DownstreamFailed = failedBelow;
    return Node.attemptEnded(call, result, at(Now));
  }
  using BrokerBench::end;
};

/// A call with two attempts in flight.
struct HedgedCall : HedgeBench {
  HedgedCall() : Call(lookUp()), First(stepOf(Call)) {
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

TEST_CASE("of two silent calls only that has a second attempt which the budget "
          "pays") {
  HedgeBench it;
  const CallHandle calls[] = {it.lookUp(), it.lookUp()};
  for (const auto call : calls) {
    // The deadline goes out whole: a target that works to it must not end
    // the call at the time of a second attempt.
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

TEST_CASE("a call has one second attempt at most") {
  HedgedCall it;
  CHECK_FALSE(it.hedge(it.Call));
  CHECK(it.endSecond(AttemptEnd::Broken).What == Kind::Await);
  CHECK_FALSE(it.hedge(it.Call));
  checkUnknown(it.endFirst(AttemptEnd::Broken));
}

TEST_CASE("a call awaits its first attempt, however its second one fails") {
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

TEST_CASE("a call awaits its second attempt when its first one is lost") {
  for (const bool below : {false, true}) {
    HedgedCall it;
    const auto step =
        it.end(it.Call, it.First, AttemptEnd::Broken, ResultCode::Ok, below);
    CHECK(step.What == Kind::Await);
    checkAnswered(it.endSecond(AttemptEnd::Answered));
  }
}

TEST_CASE("a hedged call is told as not run only if neither attempt was") {
  const auto refused = AttemptEnd::RefusedNotRun;
  const auto late = ResultCode::DeadlineExceeded;
  HedgedCall it;
  CHECK(it.endSecond(refused, late).What == Kind::Await);
  checkNotRun(it.endFirst(refused, late), late);
  HedgedCall lost;
  CHECK(lost.endFirst(AttemptEnd::TimedOut).What == Kind::Await);
  checkUnknown(lost.endSecond(refused, late));
}

TEST_CASE(
    "a refused second attempt goes to a third target, not to the first's") {
  HedgeBench it;
  it.members({member("n1"), member("n2"), member("n3")});
  const auto call = it.lookUp();
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

TEST_CASE("an attempt that was overtaken frees its place at its target") {
  HedgedCall it;
  checkAnswered(it.endSecond(AttemptEnd::Answered));
  it.Node.end(it.Call, at(it.Now));
  it.members({member(it.First.To.Node)});
  CHECK(it.stepOf(it.lookUp()).Basis.InFlight == 0);
}

TEST_CASE("an attempt goes on alone when no target is left for a second one") {
  HedgeBench it;
  const auto call = it.lookUp();
  const auto first = it.stepOf(call);
  it.pass(first.HedgeAfter);
  it.members({member(first.To.Node)});
  CHECK_FALSE(it.hedge(call));
  it.members({member("n1"), member("n2")});
  CHECK(it.hedge(call));
}

TEST_CASE("no second attempt starts when too little time is left") {
  HedgeBench it;
  const auto call = it.lookUp();
  const auto first = it.stepOf(call);
  it.pass(first.AttemptTimeout - first.HedgeAfter / 4);
  CHECK_FALSE(it.hedge(call));
}

TEST_CASE("calls that may not be sent again have no second attempt") {
  HedgeBench it;
  CallRequest below;
  below.WithinRetry = true;
  CallRequest brief;
  brief.Remaining = 1200ms;
  const CallHandle calls[] = {it.begin("/pay"), it.begin("/lookup", below),
                              it.begin("/lookup", brief)};
  for (const auto call : calls) {
    CHECK(it.stepOf(call).HedgeAfter == 0s);
    CHECK_FALSE(it.hedge(call));
  }
  const auto ended = it.lookUp();
  it.Node.end(ended, at(it.Now));
  CHECK_FALSE(it.hedge(ended));
}

TEST_CASE("attempts in any order keep the promises, the places and the number "
          "of targets") {
  for (uint64_t seed = 0; seed < 3000; ++seed) {
    CAPTURE(seed);
    HedgeBench it;
    base::Random random(seed);
    const std::vector<fleet::Member> nodes = {member("n1"), member("n2"),
                                              member("n3"), member("n4")};
    it.members(nodes);
    const auto call = it.lookUp();
    std::vector<CallStep> flights = {it.stepOf(call)};
    int arrived = 0;
    bool mayHaveRun = false;
    CallStep last;
    while (!flights.empty()) {
      it.pass(flights.front().HedgeAfter / 2);
      if (auto more = it.hedge(call)) {
        for (const auto &one : flights)
          CHECK(one.To.Node != more->To.Node);
        flights.push_back(*more);
      }
      REQUIRE(flights.size() <= 2);
      const auto at = random.below(flights.size());
      const auto one = flights[at];
      flights.erase(flights.begin() + static_cast<ptrdiff_t>(at));
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
        for (const auto &other : flights)
          CHECK(other.To.Node != last.To.Node);
        flights.push_back(last);
      }
      CHECK((last.What == Kind::Finish) == flights.empty());
    }
    CHECK(last.Outcome ==
          (mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun));
    CHECK(arrived <= 3);
    it.Node.end(call, at(it.Now));
    for (const auto &node : nodes) {
      it.members({node});
      it.pass(60s);
      CHECK(it.stepOf(it.lookUp()).Basis.InFlight == 0);
    }
  }
}
