#include <LibBalance/LoadBalancer.h>
#include <LibBalance/LoadEstimate.h>
#include <LibBalance/PathHealth.h>
#include <LibBalance/SpilloverShare.h>
#include <LibCalls/BrokerFixture.h>
#include <LibCalls/ClientThrottle.h>

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

/// Returns how often each node is chosen in 1,000 choices.
std::map<std::string, int> spread(TargetTable &table, base::Duration now,
                                  SpilloverShare &spillover,
                                  const FeatureToggles &toggles = {}) {
  const LoadBalancer balancer({"dc1", "south"}, toggles);
  base::Random random(1);
  std::map<std::string, int> out;
  for (int n = 0; n < 1000; ++n)
    if (auto *it = balancer.choose(table.usable(Lookup), {}, spillover, at(now),
                                   random))
      ++out[it->Candidate.Node];
  return out;
}

fleet::Member loaded(const std::string &node, const std::string &dataCentre,
                     uint32_t permille) {
  auto out = member(node, dataCentre);
  out.Targets[0].LoadPermille = permille;
  return out;
}

} // namespace

TEST_CASE(
    "a load report loses weight with age and with contradicting observations") {
  LoadEstimate it;
  CHECK(it.current(at(0s)) == LoadEstimate::NeutralPermille);
  it.reported(0, at(0s));
  CHECK(it.current(at(0s)) == 0);
  CHECK(it.current(at(5s)) == 250);
  CHECK(it.current(at(20s)) == LoadEstimate::NeutralPermille);
  for (int n = 0; n < 10; ++n)
    it.observed(900, at(1s));
  CHECK(it.current(at(2s)) == 900);
  it.reported(0, at(4s));
  CHECK(it.current(at(4s)) == LoadEstimate::NeutralPermille);
}

TEST_CASE("busy, newly started and misreporting targets get fewer calls than "
          "idle ones") {
  TargetTable table;
  SpilloverShare spillover;
  table.membersChanged({member("a"), member("b"), member("c")}, at(0s));
  auto cold = member("cold");
  table.membersChanged({member("a"), member("b"), member("c"), cold}, at(60s));
  CHECK(spread(table, 61s, spillover)["cold"] < 50);
  CHECK(spread(table, 80s, spillover)["cold"] > 150);
  for (auto *it : table.usable(Lookup))
    if (it->Candidate.Node == "a")
      it->Load.observed(1000, at(80s)); // While it reports no load at all.
  CHECK(spread(table, 80s, spillover)["a"] < 50);
}

TEST_CASE("a target that says how long it is slow gets half its share at first "
          "and all of it then") {
  TargetTable table;
  SpilloverShare spillover;
  table.membersChanged({member("a"), member("b"), member("c")}, at(0s));
  auto cold = member("cold");
  cold.Targets[0].WarmUpMs = 3000;
  const auto silent = member("silent");
  const auto spreadWithOthersBusy = [&](base::Duration now) {
    table.membersChanged({member("a"), member("b"), member("c"), cold, silent},
                         at(now));
    for (auto *it : table.usable(Lookup))
      if (it->Candidate.Node.size() == 1)
        it->Load.observed(900, at(now));
    return spread(table, now, spillover);
  };
  auto first = spreadWithOthersBusy(60s);
  CHECK(first["cold"] > 150);
  CHECK(first["cold"] < 350);
  CHECK(first["silent"] < 50);
  CHECK(spreadWithOthersBusy(63s)["cold"] > 400);
  // Later heartbeats say what is left; that doesn't start it anew.
  cold.Targets[0].WarmUpMs = 1500;
  cold.Targets[0].LoadPermille = 1;
  ++cold.Revision;
  CHECK(spreadWithOthersBusy(63s)["cold"] > 400);
}

TEST_CASE("a target that refused a call as overloaded is avoided for a time") {
  BrokerFixture it;
  it.pass(LoadBalancer::SlowStart);
  const auto first = it.begin("/pay");
  const auto busy = it.stepOf(first).To.Node;
  it.end(first, AttemptEnd::RefusedNotRun, ResultCode::Overloaded);
  it.end(first, AttemptEnd::Answered);
  for (int n = 0; n < 20; ++n) {
    const auto call = it.begin("/pay");
    CHECK(it.stepOf(call).To.Node != busy);
    it.end(call, AttemptEnd::Answered);
  }
}

TEST_CASE("failures eject a target for a time, but never more than half of the "
          "targets") {
  TargetTable table;
  SpilloverShare spillover;
  table.membersChanged({member("a"), member("b"), member("c"), member("d")},
                       at(0s));
  const auto fail = [&](const std::string &node) {
    for (auto *it : table.usable(Lookup))
      for (uint32_t n = 0; n < TargetHealth::FailureLimit; ++n)
        if (it->Candidate.Node == node)
          it->Health.failed(at(60s));
  };
  fail("a");
  CHECK(spread(table, 60s, spillover).size() == 3);
  fail("b");
  CHECK(spread(table, 60s, spillover).size() == 2);
  fail("c");
  CHECK(spread(table, 60s, spillover).size() == 4);
  table.tick(at(60s + TargetHealth::FirstEjection));
  for (auto *it : table.usable(Lookup))
    CHECK(it->Health.probing() == (it->Candidate.Node != "d"));
  fail("a"); // A failed probe ejects at once, for twice as long.
  table.tick(at(60s + TargetHealth::FirstEjection));
  for (auto *it : table.usable(Lookup))
    CHECK(it->Health.ejected() == (it->Candidate.Node == "a"));
}

TEST_CASE("a target whose node cannot be reached is ejected at once") {
  BrokerFixture fixture;
  fixture.members({member("n1"), member("n2"), member("n3")});
  const auto call = fixture.begin("/lookup");
  const auto unreachable = fixture.stepOf(call).To.Node;
  fixture.Now += 250ms;
  auto step = fixture.end(call, AttemptEnd::NotSent);
  CHECK(step.What == CallStep::Kind::Send);
  CHECK(step.To.Node != unreachable);
  std::map<std::string, int> asked;
  for (int n = 0; n < 50; ++n)
    ++asked[fixture.stepOf(fixture.begin("/lookup")).To.Node];
  CHECK(asked.size() == 2);
  CHECK_FALSE(asked.contains(unreachable));
}

TEST_CASE("calls stay in the data centre, spill over by headroom and return "
          "gradually") {
  TargetTable table;
  SpilloverShare spillover;
  const auto load = [&](uint32_t own, base::Duration now) {
    table.membersChanged({loaded("own", "dc1", own), loaded("far", "dc2", 100)},
                         at(now));
    return spread(table, now, spillover)["far"];
  };
  CHECK(load(700, 60s) == 0);
  CHECK(load(1000, 61s) < 150);
  for (int n = 0; n < 20; ++n)
    load(1000 - n % 2, 62s + n * 1s);
  CHECK(load(1000, 82s) > 900);
  table.membersChanged({loaded("far", "dc2", 100)}, at(83s));
  CHECK(spread(table, 83s, spillover)["far"] == 1000);
  int last = 1000;
  for (int n = 1; n <= 10; ++n) {
    const int now = load(n % 2, 83s + n * 1s);
    CHECK(last - now < 200);
    last = now;
  }
  CHECK(last == 0);
}

TEST_CASE("with headroom disabled targets are chosen at random") {
  TargetTable table;
  SpilloverShare spillover;
  table.membersChanged({loaded("own", "dc1", 0), loaded("far", "dc2", 1000)},
                       at(0s));
  const FeatureToggles plain{.RanksEnabled = true, .HeadroomEnabled = false};
  CHECK(spread(table, 60s, spillover)["far"] == 0);
  auto out = spread(table, 60s, spillover, plain);
  CHECK(out["far"] > 400);
  CHECK(out["own"] > 400);
}

TEST_CASE("silence makes a path suspect until a new connection answers") {
  BrokerFixture it;
  it.members({member("n1")});
  const CallHandle calls[] = {it.begin("/pay"), it.begin("/pay")};
  CHECK_FALSE(it.stepOf(calls[0]).FreshConnection);
  it.pass(PathHealth::SilenceLimit);
  const auto fresh = it.begin("/pay");
  CHECK(it.stepOf(fresh).FreshConnection);
  it.end(calls[0], AttemptEnd::Answered); // A pooled connection that works.
  CHECK(it.stepOf(it.begin("/pay")).FreshConnection);
  it.end(fresh, AttemptEnd::Answered);
  CHECK_FALSE(it.stepOf(it.begin("/pay")).FreshConnection);
  it.end(calls[1], AttemptEnd::TimedOut);
  CHECK(it.stepOf(it.begin("/pay")).FreshConnection);
}

TEST_CASE("an attempt that this node did not send says nothing of a path") {
  // Guards against a key that was taken away counting as an answer.
  BrokerFixture it;
  it.members({member("n1")});
  it.end(it.begin("/pay"), AttemptEnd::TimedOut);
  const auto fresh = it.begin("/pay");
  REQUIRE(it.stepOf(fresh).FreshConnection);
  it.end(fresh, AttemptEnd::RefusedNotRun, ResultCode::KeyUnknown);
  CHECK(it.stepOf(it.begin("/pay")).FreshConnection);
}

TEST_CASE(
    "an idempotent call is hedged around a silent connection within 2 s") {
  BrokerFixture it;
  const auto call = it.begin("/lookup");
  CHECK(it.stepOf(call).HedgeAfter > 0s);
  CHECK(it.stepOf(call).HedgeAfter <= 2s);
  it.pass(it.stepOf(call).HedgeAfter);
  const auto second = it.Node.hedge(call, at(it.Now));
  REQUIRE(second);
  CHECK(second->What == CallStep::Kind::Send);
  CHECK(second->To.Node != it.stepOf(call).To.Node);
  CHECK(second->AttemptTimeout > 3s);
  CHECK(second->HedgeAfter == 0s);
  const auto pay = it.stepOf(it.begin("/pay"));
  CHECK(pay.AttemptTimeout > 4900ms);
  CHECK(pay.HedgeAfter == 0s);
}

TEST_CASE("only refused ranks are throttled, down to the accepted rate") {
  ClientThrottle it;
  base::Random random(1);
  std::array<int, config::RankCount> sent{};
  int64_t places = 0; // Of the targets' queues, in thousandths.
  int accepted = 0;
  for (int n = 0; n < 300'000; ++n) {
    const auto rank = static_cast<Rank>(n % 3);
    places = std::min<int64_t>(places + 10, 4000);
    if (it.shouldShed(rank, at(n * 100us), random))
      continue;
    ++sent[static_cast<size_t>(rank)];
    // The targets accept all critical and standard calls, and 100 background
    // calls per second.
    if (rank != Rank::Background)
      continue;
    const bool room = places >= 1000;
    accepted += room && n >= 100'000 ? 1 : 0;
    places -= room ? 1000 : 0;
    if (!room)
      it.refused(rank);
  }
  CHECK(sent[0] == 100'000);
  CHECK(sent[1] == 100'000);
  CHECK(sent[2] < 10'000);
  // Without history it takes some seconds to find the accepted rate; then the
  // floor of 100 calls per second is used.
  CHECK(accepted >= 1'980);
}
