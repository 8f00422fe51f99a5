#include <LibBalance/LoadBalancer.h>
#include <LibBalance/RelativeTime.h>
#include <LibBalance/TargetTable.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>
#include <map>

using namespace radishcross;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

TEST_CASE("a target's time is bounded, averaged and forgotten") {
  RelativeTime it;
  CHECK(it.permille(at(1s)) == RelativeTime::UsualPermille);
  it.observed(2'000, at(1s));
  CHECK(it.permille(at(1s)) == 2'000);
  it.observed(1'000, at(1s));
  CHECK(it.permille(at(1s)) == 1'500);
  CHECK(it.permille(at(1s + RelativeTime::Lifetime / 2)) == 1'250);
  CHECK(it.permille(at(1s + RelativeTime::Lifetime)) ==
        RelativeTime::UsualPermille);
  it.observed(100'000, at(2min)); // The first one again.
  CHECK(it.permille(at(2min)) == RelativeTime::MaximumPermille);
  for (int n = 0; n < 100; ++n)
    it.observed(0, at(2min));
  CHECK(it.permille(at(2min)) <= RelativeTime::MinimumPermille + 10);
}

TEST_CASE("times are compared within a kind of call only") {
  ServiceTimes it;
  const ServiceTimes::Kind fast{Rank::Critical, 100ms};
  const ServiceTimes::Kind slow{Rank::Standard, 2s};
  CHECK(it.observed(fast, 10ms) == 1'000);
  CHECK(it.observed(slow, 400ms) == 1'000);
  CHECK(it.observed(fast, 30ms) == 1'500);
  for (int n = 0; n < 500; ++n) {
    it.observed(slow, 200ms);
    it.observed(slow, 600ms);
  }
  const auto ratio = it.observed(slow, 400ms);
  CHECK(ratio > 950);
  CHECK(ratio < 1'050);
}

TEST_CASE("targets are drawn by what they can run") {
  TargetTable table;
  std::vector<fleet::Member> members = {member("a"), member("b"), member("c"),
                                        member("d")};
  members[3].Targets.front().Slots = 3;
  table.membersChanged(members, at(0s));
  for (auto *it : table.usable(Lookup))
    if (it->Candidate.Node == "a")
      it->Speed.observed(3'000, at(1min));
  const LoadBalancer balancer({"dc1", "south"});
  SpilloverShare spillover;
  base::Random random(1);
  std::map<std::string, int> out;
  for (int n = 0; n < 10'000; ++n) {
    auto *it =
        balancer.choose(table.usable(Lookup), {}, spillover, at(1min), random);
    REQUIRE(it);
    ++out[it->Candidate.Node];
  }
  CHECK(out["b"] > 2 * out["a"]);
  CHECK(out["b"] > 2 * out["d"]);
  CHECK(out["a"] > 100);
  CHECK(out["d"] > 100);
}

TEST_CASE("what is known of a target's time ends with its process") {
  TargetTable table;
  auto it = member("a");
  table.membersChanged({it}, at(0s));
  auto &known = *table.usable(Lookup).front();
  known.Speed.observed(3'000, at(1s));
  ++it.Revision;
  ++it.Targets.front().Epoch;
  table.membersChanged({it}, at(1s));
  CHECK(known.Speed.permille(at(1s)) == RelativeTime::UsualPermille);
}
