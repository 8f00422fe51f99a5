#include <LibRollout/VersionGate.h>

#include <LibRollout/StepPlan.h>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::rollout;
using namespace std::chrono_literals;

namespace {

constexpr Bounds Limits{100, 50, 5s};

struct GateFixture {
  void order(uint64_t offset, std::string version = "v2") {
    Gate.ordered({"lookup", std::move(version), 12s, offset});
  }
  bool learn(uint64_t offset, Phase state, uint32_t step = 0,
             base::Duration age = 0s) {
    const auto &order = *Gate.order();
    return Gate.learned({offset, {order.At, order.Version, state, step, 0s}},
                        age, Now);
  }
  PlacingAnswer place(bool hasOld = true, bool hasNew = true) {
    return Gate.place(hasOld, hasNew, Now);
  }
  uint32_t countNew(uint32_t calls) {
    uint32_t n = 0;
    for (uint32_t it = 0; it < calls; ++it)
      n += place().Where == Placing::NewOnly ? 1 : 0;
    return n;
  }

  VersionGate Gate{Limits, 1};
  base::TimePoint Now{10s};
};

} // namespace

TEST_CASE_FIXTURE(GateFixture, "without an order any target is taken") {
  CHECK(place().Where == Placing::Any);
  CHECK(Gate.roleOf("v1") == Role::Old);
  CHECK(Gate.roleOf("v2") == Role::Old);
  CHECK_FALSE(Gate.learned({1, {}}, 0s, Now));
}

TEST_CASE_FIXTURE(GateFixture, "an order gives nothing without its state") {
  order(1);
  CHECK(place().Why == Basis::NoLease);
  CHECK(countNew(1000) == 0);
  CHECK(place(false, true).Where == Placing::NewOnly);
}

TEST_CASE_FIXTURE(GateFixture, "each step gives its share") {
  order(1);
  for (uint32_t step = 0; step <= StepPlan::LastCanaryStep; ++step) {
    learn(step + 1, Phase::Running, step);
    const auto share = StepPlan::sharePermille(step, Limits);
    CHECK(share < Limits.ExposurePermille);
    const auto n = countNew(10000);
    CHECK(n >= share * 10 - 1);
    CHECK(n <= share * 10 + 1);
  }
}

TEST_CASE_FIXTURE(GateFixture, "before the last step the bound holds") {
  order(1);
  learn(1, Phase::Running, StepPlan::FullStep - 1);
  CHECK(countNew(10000) <= 1000);
  learn(2, Phase::Running, StepPlan::FullStep);
  CHECK(countNew(1000) == 1000);
}

TEST_CASE_FIXTURE(GateFixture, "shares of many nodes add up to the step's") {
  uint32_t n = 0;
  for (uint64_t seed = 1; seed <= 1200; ++seed) {
    VersionGate gate(Limits, seed);
    gate.ordered({"lookup", "v2", 12s, 1});
    gate.learned({1, {1, "v2", Phase::Running, 0, 0s}}, 0s, Now);
    for (int it = 0; it < 10; ++it)
      n += gate.place(true, true, Now).Where == Placing::NewOnly ? 1 : 0;
  }
  CHECK(n >= 120 - Limits.ExposureSlack);
  CHECK(n <= 120 + Limits.ExposureSlack);
}

TEST_CASE_FIXTURE(GateFixture, "a step ends with its lease") {
  order(1);
  learn(1, Phase::Running, StepPlan::FullStep, 1s);
  Now += VersionGate::LeaseTime - 1s - 1ms;
  CHECK(place().Where == Placing::NewOnly);
  Now += 1ms;
  CHECK(place().Why == Basis::NoLease);
  // The same state, confirmed anew, is no news but extends the lease.
  CHECK_FALSE(learn(1, Phase::Running, StepPlan::FullStep));
  CHECK(place().Where == Placing::NewOnly);
}

TEST_CASE_FIXTURE(GateFixture, "an older state changes nothing") {
  order(2);
  learn(5, Phase::Running, 1);
  CHECK_FALSE(learn(4, Phase::Running, StepPlan::FullStep));
  CHECK(Gate.progress()->Value.Step == 1);
  learn(6, Phase::RolledBack);
  CHECK_FALSE(learn(7, Phase::Running, 1));
  CHECK(place().Why == Basis::RolledBack);
  CHECK(place(false, true).Where == Placing::OldOnly);
  CHECK(Gate.roleOf("v2") == Role::Withheld);
  CHECK_FALSE(Gate.ordered({"lookup", "v9", 12s, 1}));
}

TEST_CASE_FIXTURE(GateFixture, "a completed version gets all calls") {
  order(1);
  learn(1, Phase::Completed);
  Now += 1h;
  CHECK(countNew(100) == 100);
  CHECK(place(true, false).Where == Placing::OldOnly);
}

TEST_CASE_FIXTURE(GateFixture, "a given up version is withheld") {
  order(1, "v2");
  order(2, "v3");
  CHECK(Gate.roleOf("v2") == Role::Withheld);
  CHECK(Gate.roleOf("v3") == Role::New);
  CHECK(Gate.roleOf("v1") == Role::Old);
  order(3, "v2");
  CHECK(Gate.roleOf("v2") == Role::New);
  learn(9, Phase::Completed);
  order(4, "v4");
  CHECK(Gate.roleOf("v2") == Role::Old);
  CHECK(Gate.roleOf("v3") == Role::Withheld);
}

TEST_CASE_FIXTURE(GateFixture, "a node stops a bad version by itself") {
  order(1);
  learn(1, Phase::Running, StepPlan::FullStep);
  for (int n = 0; n < 100; ++n)
    Gate.answered("look", "v1", false, 10ms, Now);
  int answers = 1;
  while (!Gate.answered("look", "v2", true, 10ms, Now) && answers < 100)
    ++answers;
  CHECK(answers == Evidence::LeastAnswers);
  CHECK(Gate.isCut());
  CHECK(place().Why == Basis::LocalCut);
  CHECK(countNew(100) == 0);
  const auto counts = Gate.report("n", 1);
  REQUIRE(counts.Routes.size() == 1);
  CHECK(counts.Routes[0].New == Tally{12, 12});
  CHECK(counts.Routes[0].Old == Tally{100, 0});
}

TEST_CASE_FIXTURE(GateFixture, "a notice stops the version of its order only") {
  order(2);
  learn(1, Phase::Running, StepPlan::FullStep);
  Gate.halted(1);
  CHECK(place().Where == Placing::NewOnly);
  Gate.halted(2);
  CHECK(place().Why == Basis::Halted);
  CHECK(Gate.report("n", 1).IsHalted);
  order(3);
  CHECK_FALSE(Gate.report("n", 1).IsHalted);
}

TEST_CASE("the share is spread over as few targets as bear it") {
  CHECK(StepPlan::targetsInUse(0, 500) == 0);
  CHECK(StepPlan::targetsInUse(10, 10) == 1);
  CHECK(StepPlan::targetsInUse(10, 60) == 1);
  CHECK(StepPlan::targetsInUse(10, 250) == 3);
  CHECK(StepPlan::targetsInUse(10, 1000) == 10);
}

TEST_CASE_FIXTURE(GateFixture, "a new version waits for its order") {
  Gate.targetsListed({{"v1", 3}, {"v0", 1}}, Now);
  CHECK_FALSE(Gate.isHeldBack("v1", Now));
  CHECK(Gate.isHeldBack("v0", Now)); // Seen together: the larger one goes on.
  CHECK(Gate.mayDiffer(Now));
  Now += VersionGate::UnorderedHold;
  CHECK_FALSE(Gate.mayDiffer(Now));
  Gate.targetsListed({{"v1", 3}, {"v2", 9}}, Now);
  CHECK(Gate.isHeldBack("v2", Now));
  order(1);
  CHECK_FALSE(Gate.isHeldBack("v2", Now));
  Gate.targetsListed({{"v2", 9}}, Now);
  CHECK_FALSE(Gate.isHeldBack("v2", Now));
}
