#include <LibCalls/BrokerFixture.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

AttemptResult leavingAnswer() {
  auto out = ends(AttemptEnd::Answered);
  out.Signals.emplace().IsLeaving = true;
  return out;
}

/// A broker whose first call has been answered by a target that is leaving.
struct LeavingFixture : BrokerFixture {
  LeavingFixture() {
    const auto call = begin("/lookup");
    Leaving = stepOf(call).To.Node;
    Node.attemptEnded(call, leavingAnswer(), at(Now));
    Node.end(call, at(Now));
  }

  /// Returns how many of 20 calls go to the target that was leaving. They are
  /// so far apart that its load is not known from the last one.
  int callsToLeaving() {
    int out = 0;
    for (int n = 0; n < 20; ++n) {
      pass(3s);
      const auto call = begin("/lookup");
      out += stepOf(call).To.Node == Leaving ? 1 : 0;
      end(call, AttemptEnd::Answered);
      Node.end(call, at(Now));
    }
    return out;
  }

  std::string Leaving;
};

} // namespace

TEST_CASE("a node without news of the fleet sends calls to a leaving target") {
  LeavingFixture it;
  CHECK(it.callsToLeaving() == 0);
  it.pass(1min);
  CHECK(it.callsToLeaving() == 0);
}

TEST_CASE("a leaving target that reports to be ready gets calls again") {
  LeavingFixture it;
  it.members({member("n1"), member("n2")});
  CHECK(it.callsToLeaving() == 0);
}

TEST_CASE("a leaving target gets calls again after a restart of its node") {
  LeavingFixture it;
  it.members({member(it.Leaving == "n1" ? "n2" : "n1")});
  it.pass(1min);
  it.members({member("n1"), member("n2")});
  CHECK(it.callsToLeaving() == 0);
}

TEST_CASE("a call is retried or hedged at a target that is leaving") {
  LeavingFixture it;
  for (const auto how : {AttemptEnd::NotSent, AttemptEnd::TimedOut}) {
    const auto call = it.begin("/lookup");
    const auto next = it.end(call, how);
    CHECK(next.What == CallStep::Kind::Finish);
    it.Node.end(call, at(it.Now));
  }
  const auto call = it.begin("/lookup");
  CHECK_FALSE(it.Node.hedge(call, at(it.Now + 10s)));
}

TEST_CASE("a leaving target binds the process that takes its place") {
  LeavingFixture it;
  auto next = member(it.Leaving);
  next.Targets.front().Epoch = 1;
  it.members({next, member(it.Leaving == "n1" ? "n2" : "n1")});
  it.pass(1min);
  CHECK(it.callsToLeaving() > 0);
}

TEST_CASE("calls wait for the only target although it is leaving") {
  LeavingFixture it;
  it.members({member(it.Leaving)});
  const auto step = it.stepOf(it.begin("/lookup"));
  checkNotRun(step, ResultCode::NoTarget);
}
