#include <LibCalls/BrokerFixture.h>
#include <LibCalls/CallPlanPlayer.h>
#include <LibCalls/CallPlanner.h>
#include <LibRollout/StepPlan.h>

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;
using rollout::Phase;

namespace {

struct KeptEntries final : trace::Recorder {
  void record(trace::Entry entry) override {
    Entries.push_back(std::move(entry));
  }
  std::vector<trace::Entry> Entries;
};

/// A planner with four targets, one of them of another version.
struct VersionFixture {
  VersionFixture() {
    Planner.boundVersions({100, 50, 5s});
    list({"v1", "v1", "v1", "v2"});
    Now += rollout::VersionGate::UnorderedHold;
  }
  void list(const std::vector<std::string> &versions) {
    std::vector<fleet::Member> members;
    for (size_t n = 0; n < versions.size(); ++n) {
      members.push_back(member("n" + std::to_string(n)));
      members.back().Targets.front().SoftwareVersion = versions[n];
    }
    Planner.membersChanged(members, at(Now));
  }
  /// Makes calls and returns their number by version.
  std::map<std::string, int> call(int count, bool isBad = false) {
    std::map<std::string, int> out;
    for (int n = 0; n < count; ++n) {
      Now += 1ms;
      RoutedCall route;
      route.ServiceName = Lookup;
      route.Allowed = 1s;
      route.RouteName = "r";
      const auto step = Planner.begin(++Handle, route, at(Now));
      REQUIRE(step.What == CallStep::Kind::Send);
      const auto &version = step.To.Target.SoftwareVersion;
      ++out[version];
      auto result = ends(AttemptEnd::Answered);
      result.TargetFailed = isBad && version == "v2";
      // Without calls in flight, equal targets are taken in one order.
      if (n < Lag)
        continue;
      const auto ended = Handle - static_cast<CallHandle>(Lag);
      Planner.attemptEnded(ended, result, at(Now));
      Planner.end(ended, at(Now));
    }
    return out;
  }
  void order() {
    CHECK(Planner.rolloutOrdered({std::string(Lookup), "v2", 12s, 1}, at(Now)));
  }
  void learn(uint64_t offset, Phase state, uint32_t step = 0) {
    CHECK(Planner.rolloutLearned(std::string(Lookup),
                                 {offset, {1, "v2", state, step, 0s}}, 0s,
                                 at(Now)));
  }

  KeptEntries Kept;
  CallPlanner Planner{{"dc1", "south"}, 7, Kept};
  base::Duration Now = 1min;
  CallHandle Handle = 0;
  int Lag = 0; ///< Calls in flight.
};

} // namespace

TEST_CASE_FIXTURE(VersionFixture, "calls follow the steps of a roll-out") {
  Lag = 8;
  CHECK(call(400)["v2"] > 0); // Not ordered: any target.
  Lag = 0;
  order();
  CHECK(call(200)["v2"] == 0); // The state is not known.
  learn(1, Phase::Running);
  const auto n = call(1000)["v2"];
  CHECK(n >= 9);
  CHECK(n <= 11);
  learn(2, Phase::Running, rollout::StepPlan::FullStep);
  CHECK(call(100)["v1"] == 0);
  Now += rollout::VersionGate::LeaseTime;
  CHECK(call(100)["v2"] == 0);
  learn(3, Phase::Completed);
  CHECK(call(100)["v1"] == 0);
}

TEST_CASE_FIXTURE(VersionFixture, "a version rolled back gets nothing") {
  order();
  learn(1, Phase::RolledBack);
  CHECK(call(200)["v2"] == 0);
  list({"v2", "v2"});
  RoutedCall route;
  route.ServiceName = Lookup;
  route.Allowed = 1s;
  CHECK(Planner.begin(++Handle, route, at(Now)).Code ==
        base::ResultCode::NoTarget);
}

TEST_CASE_FIXTURE(VersionFixture, "a node stops a version that fails here") {
  order();
  learn(1, Phase::Running);
  const auto before = call(200)["v2"];
  learn(2, Phase::Running, rollout::StepPlan::FullStep);
  CHECK(before + call(200, true)["v2"] == rollout::Evidence::LeastAnswers);
  const auto cuts = Planner.takeVersionCuts();
  REQUIRE(cuts.size() == 1);
  CHECK(cuts[0].Why.Route == "r");
  CHECK(Planner.takeVersionCuts().empty());
}

TEST_CASE_FIXTURE(VersionFixture, "a notice stops a version") {
  order();
  learn(1, Phase::Running, rollout::StepPlan::FullStep);
  Planner.rolloutHalted(std::string(Lookup), 1, at(Now));
  CHECK(call(100)["v2"] == 0);
}

TEST_CASE_FIXTURE(VersionFixture, "a version without an order is held back") {
  list({"v1", "v1", "v2", "v3"});
  CHECK(call(400)["v3"] == 0);
  Now += rollout::VersionGate::UnorderedHold;
  Lag = 8;
  CHECK(call(400)["v3"] > 0);
  Lag = 0;
  // Alone it is taken at once.
  list({"v4"});
  CHECK(call(10)["v4"] == 10);
}

TEST_CASE("without bounds the versions change nothing") {
  KeptEntries kept;
  CallPlanner planner({"dc1", "south"}, 7, kept);
  CHECK_FALSE(
      planner.rolloutOrdered({std::string(Lookup), "v2", 12s, 1}, at(1min)));
  CHECK(planner.versionGates().empty());
}

TEST_CASE_FIXTURE(VersionFixture, "a recorded roll-out replays") {
  order();
  learn(1, Phase::Running);
  call(300);
  learn(2, Phase::Running, rollout::StepPlan::FullStep);
  call(100, true);
  Planner.rolloutHalted(std::string(Lookup), 1, at(Now));
  call(50);
  learn(3, Phase::RolledBack);
  call(50);
  CallPlanPlayer player;
  size_t differences = 0;
  for (const auto &it : Kept.Entries)
    differences += player.play(it) == it.Decided ? 0 : 1;
  CHECK(Kept.Entries.size() > 1000);
  CHECK(differences == 0);
}
