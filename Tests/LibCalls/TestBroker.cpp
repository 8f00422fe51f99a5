#include <LibCalls/BrokerFixture.h>

#include <doctest/doctest.h>
#include <set>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

using Kind = CallStep::Kind;

} // namespace

TEST_CASE("a call is sent to a ready target with its rank and deadline") {
  BrokerFixture it;
  const auto call = it.begin("/pay");
  const auto step = it.Node.step(call);
  REQUIRE(step.What == Kind::Send);
  CHECK(step.ServiceName == Lookup);
  CHECK(step.CallRank == Rank::Critical);
  CHECK(step.AttemptTimeout < 5s);
  CHECK(step.Remaining < 5s);
  CHECK(step.Remaining > 4900ms);
  CHECK_FALSE(step.Retry);
  checkAnswered(it.end(call, AttemptEnd::Answered));
}

TEST_CASE("a call has the shorter of its caller's and its route's deadline") {
  struct Row {
    base::Duration Asked;
    base::Duration Left;
  };
  // The route has no deadline, so the default of 5 s applies.
  const Row rows[] = {{0s, 5s}, {800ms, 800ms}, {60s, 5s}};
  for (const auto &row : rows) {
    CAPTURE(row.Asked.count());
    BrokerFixture it;
    CallRequest request;
    request.Remaining = row.Asked;
    const auto call = it.begin("/pay", std::move(request));
    const auto step = it.Node.step(call);
    REQUIRE(step.What == Kind::Send);
    CHECK(step.Remaining <= row.Left);
    CHECK(step.Remaining > row.Left - 100ms);
    CHECK(step.AttemptTimeout <= step.Remaining);
  }
}

TEST_CASE("with ranks disabled all calls have the same rank") {
  BrokerFixture it(nullptr, {.RanksEnabled = false, .HeadroomEnabled = true});
  for (const char *path : {"/pay", "/lookup"})
    CHECK(it.stepOf(it.begin(path)).CallRank == Rank::Standard);
}

TEST_CASE("the end of an attempt decides between retry, not run and unknown") {
  struct Row {
    std::string Path;
    AttemptEnd End;
    ResultCode Code;
    int Sends;
    CallOutcome Outcome;
    ResultCode Told;
  };
  using E = AttemptEnd;
  using O = CallOutcome;
  using R = ResultCode;
  const Row rows[] = {
      {"/pay", E::NotSent, R::Ok, 3, O::NotRun, R::NoTarget},
      {"/pay", E::RefusedNotRun, R::Draining, 3, O::NotRun, R::Draining},
      {"/pay", E::RefusedNotRun, R::Overloaded, 3, O::NotRun, R::Overloaded},
      {"/pay", E::RefusedNotRun, R::Quarantined, 1, O::NotRun, R::Quarantined},
      {"/pay", E::Broken, R::Ok, 1, O::Unknown, R::CallOutcomeUnknown},
      {"/pay", E::TimedOut, R::Ok, 1, O::Unknown, R::CallOutcomeUnknown},
      {"/lookup", E::Broken, R::Ok, 2, O::Unknown, R::CallOutcomeUnknown},
      {"/lookup", E::TimedOut, R::Ok, 2, O::Unknown, R::CallOutcomeUnknown},
      {"/lookup", E::CallerGone, R::Ok, 1, O::Unknown, R::CallerGone},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Path);
    CAPTURE(static_cast<int>(row.End));
    BrokerFixture it;
    checkFinish(it.run(row.Path, row.End, row.Code), row.Outcome, row.Told);
    CHECK(it.Sends == row.Sends);
  }
}

TEST_CASE(
    "a retry goes to another target and ends as unknown after a lost attempt") {
  BrokerFixture it;
  const auto call = it.begin("/lookup");
  const auto first = it.Node.step(call);
  const auto second = it.end(call, AttemptEnd::Broken);
  REQUIRE(second.What == Kind::Send);
  CHECK(second.To.Node != first.To.Node);
  CHECK(second.Retry);
  auto last = it.end(call, AttemptEnd::NotSent);
  while (last.What == Kind::Send)
    last = it.end(call, AttemptEnd::NotSent);
  checkUnknown(last);
}

TEST_CASE("calls that cannot be sent are refused at once as not run") {
  BrokerFixture it;
  CallRequest deep;
  deep.Hops = MaximumHops;
  CallRequest late;
  late.Remaining = -1ms;
  CallRequest poison;
  poison.Fingerprint = 66;
  it.Quarantined.applyRemote(66, Lookup, 1min, at(it.Now));
  const auto refused = [&it](const std::string &path, CallRequest request) {
    auto out = it.Node.step(it.begin(path, std::move(request)));
    CHECK(out.What == Kind::Finish);
    CHECK(out.Outcome == CallOutcome::NotRun);
    return out;
  };
  CHECK(refused("/none", {}).Code == ResultCode::NoRoute);
  CHECK(refused("/pay", deep).Code == ResultCode::TooManyHops);
  CHECK(refused("/pay", late).Code == ResultCode::DeadlineExceeded);
  CHECK(refused("/pay", poison).Code == ResultCode::Quarantined);
  CHECK(refused("/pay", poison).RetryAfter > 0s);
  it.members({member("n1", "dc1", TargetState::Draining),
              member("n2", "dc1", TargetState::Starting)});
  CHECK(refused("/pay", {}).Code == ResultCode::NoTarget);
  CHECK(refused("/pay", {}).RetryAfter > 0s);
}

TEST_CASE("drained services and VMs and dead members get no new calls") {
  BrokerFixture it;
  const auto nodes = [&it] {
    std::set<std::string> out;
    for (int n = 0; n < 50; ++n) {
      const auto call = it.begin("/pay");
      const auto step = it.Node.step(call);
      if (step.What == Kind::Send)
        out.insert(step.To.Node);
      it.end(call, AttemptEnd::Answered);
      it.Node.end(call, at(it.Now));
    }
    return out;
  };
  using Nodes = std::set<std::string>;
  CHECK(nodes() == Nodes{"n1", "n2"});
  it.Node.drainedChanged({"vm:n1"}, at(it.Now));
  CHECK(nodes() == Nodes{"n2"});
  it.Node.drainedChanged({"service:badges/lookup"}, at(it.Now));
  CHECK(nodes().empty());
  it.Node.drainedChanged({}, at(it.Now));
  auto dead = member("n1");
  dead.State = fleet::MemberState::Dead;
  it.members({dead, member("n2")});
  CHECK(nodes() == Nodes{"n2"});
}

TEST_CASE("a tenant's rank goes before that of the route") {
  BrokerFixture it;
  CallRequest request;
  for (const auto rank : {Rank::Critical, Rank::Background}) {
    request.TenantRank = rank;
    CHECK(it.stepOf(it.begin("/lookup", request)).CallRank == rank);
  }
  request.ParentRank = Rank::Background;
  request.TenantRank = Rank::Critical;
  CHECK(it.stepOf(it.begin("/lookup", request)).CallRank == Rank::Background);
}
