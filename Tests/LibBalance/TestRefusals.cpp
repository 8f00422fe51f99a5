#include <LibBalance/LoadBalancer.h>
#include <LibBalance/RefusalBackoff.h>
#include <LibBalance/TargetTable.h>
#include <LibCalls/BrokerFixture.h>

#include <doctest/doctest.h>
#include <set>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

TEST_CASE("consecutive refusals start a backoff that doubles") {
  RefusalBackoff it;
  it.refused(at(1s));
  CHECK_FALSE(it.isBackingOff(at(1s)));
  it.refused(at(1s));
  CHECK(it.isBackingOff(at(1s)));
  it.refused(at(1s)); // Was already in flight.
  CHECK_FALSE(it.isBackingOff(at(1s + RefusalBackoff::InitialBackoff)));
  base::Duration now = 2s;
  for (int n = 0; n < 10; ++n, now += 10s)
    it.refused(at(now));
  it.refused(at(now));
  CHECK(it.isBackingOff(at(now + RefusalBackoff::MaximumBackoff - 1us)));
  CHECK_FALSE(it.isBackingOff(at(now + RefusalBackoff::MaximumBackoff)));
  it.answered();
  CHECK_FALSE(it.isBackingOff(at(now)));
  it.refused(at(now));
  CHECK_FALSE(it.isBackingOff(at(now)));
}

TEST_CASE("calls go to the only target that doesn't refuse them") {
  BrokerFixture it;
  const std::set<std::string> refusing = {"n1", "n2", "n3"};
  it.members({member("n1"), member("n2"), member("n3"), member("n4")});
  it.pass(LoadBalancer::SlowStart);
  int refusals = 0;
  for (int n = 0; n < 1000; ++n) {
    it.Now += 10ms;
    const auto call = it.begin("/lookup");
    auto step = it.stepOf(call);
    while (step.What == CallStep::Kind::Send) {
      const bool refuses = refusing.contains(step.To.Node);
      refusals += refuses ? 1 : 0;
      step = refuses ? it.end(call, AttemptEnd::RefusedNotRun,
                              ResultCode::TargetRefused)
                     : it.end(call, AttemptEnd::Answered);
    }
    it.Node.end(call, at(it.Now));
  }
  // In 10 s each target is tried every 2 s at most, after the first second.
  CHECK(refusals <= 36);
}

TEST_CASE("no calls go to a target whose node has refused one as draining") {
  BrokerFixture it;
  it.pass(LoadBalancer::SlowStart);
  const auto refusalsIn = [&it](base::Duration time, std::string_view node) {
    int out = 0;
    for (const auto until = it.Now + time; it.Now < until; it.Now += 10ms) {
      const auto call = it.begin("/lookup");
      auto step = it.stepOf(call);
      while (step.What == CallStep::Kind::Send) {
        const bool refuses = step.To.Node == node;
        out += refuses ? 1 : 0;
        step = refuses ? it.end(call, AttemptEnd::RefusedNotRun,
                                ResultCode::Draining)
                       : it.end(call, AttemptEnd::Answered);
      }
      checkAnswered(step);
      it.Node.end(call, at(it.Now));
    }
    return out;
  };
  // Calls that n1 has run since before its refusal end in between.
  std::vector<CallHandle> early;
  early.reserve(4);
  for (int n = 0; n < 4; ++n)
    early.push_back(it.begin("/lookup"));
  CHECK(refusalsIn(100ms, "n1") == 1);
  for (const auto call : early) {
    checkAnswered(it.end(call, AttemptEnd::Answered));
    it.Node.end(call, at(it.Now));
  }
  CHECK(refusalsIn(RefusalBackoff::MaximumBackoff / 2, "n1") == 0);
  // It is tried once in each backoff.
  CHECK(refusalsIn(RefusalBackoff::MaximumBackoff * 2, "n1") <= 2);
}

TEST_CASE(
    "a target avoided as draining gets calls once it is announced again") {
  TargetTable table;
  auto it = member("n1");
  table.membersChanged({it}, at(1s));
  auto &refusals = table.usable(Lookup).front()->Refusals;
  refusals.refusedDraining(at(1s));
  it.Targets[0].LoadPermille = 900;
  ++it.Revision;
  table.membersChanged({it}, at(1s));
  CHECK(refusals.isAvoided(at(1s)));
  ++it.Targets[0].Epoch;
  ++it.Revision;
  table.membersChanged({it}, at(1s));
  CHECK_FALSE(refusals.isAvoided(at(1s)));
}

TEST_CASE(
    "a further attempt may go to a draining target if no other accepts calls") {
  BrokerFixture it;
  const auto refuse = [&it](CallHandle call, ResultCode code) {
    return it.end(call, AttemptEnd::RefusedNotRun, code);
  };
  it.members({member("n1")});
  refuse(it.begin("/lookup"), ResultCode::Draining);
  it.members({member("n1"), member("n2")});
  const auto call = it.begin("/lookup");
  CHECK(it.stepOf(call).To.Node == "n2");
  const auto second = refuse(call, ResultCode::Overloaded);
  REQUIRE(second.What == CallStep::Kind::Send);
  CHECK(second.To.Node == "n1");
}

TEST_CASE("no further attempt is sent to a target in refusal backoff") {
  BrokerFixture it;
  const auto refuse = [&it](CallHandle call) {
    return it.end(call, AttemptEnd::RefusedNotRun, ResultCode::TargetRefused);
  };
  it.members({member("n1")});
  for (uint32_t n = 0; n < RefusalBackoff::MinimumStreak; ++n)
    refuse(it.begin("/pay"));
  it.members({member("n1"), member("n2")});
  const auto first = it.begin("/lookup");
  CHECK(it.stepOf(first).To.Node == "n2");
  CHECK_FALSE(it.Node.hedge(first, at(it.Now)));
  const auto end =
      it.end(first, AttemptEnd::RefusedNotRun, ResultCode::Overloaded);
  checkNotRun(end, ResultCode::Overloaded);
  it.pass(RefusalBackoff::MaximumBackoff);
  const auto later = it.begin("/lookup");
  CHECK(it.end(later, AttemptEnd::NotSent).What == CallStep::Kind::Send);
}

TEST_CASE("if all targets refuse, calls are spread over all of them") {
  BrokerFixture it;
  std::set<std::string> asked;
  for (int n = 0; n < 50; ++n) {
    const auto call = it.begin("/lookup");
    asked.insert(it.stepOf(call).To.Node);
    it.end(call, AttemptEnd::RefusedNotRun, ResultCode::TargetRefused);
    it.Node.end(call, at(it.Now));
  }
  CHECK(asked.size() == 2);
}
