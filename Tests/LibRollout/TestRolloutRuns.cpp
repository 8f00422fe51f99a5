#include <LibRollout/RolloutModel.h>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::rollout;
using namespace radishcross::rollout::testing;

namespace {

constexpr uint64_t Seeds = 20;

/// Runs a version to the end of its period on several seeds.
template <typename Check>
void runVersions(const Quality &quality, Check check) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    Setup setup;
    setup.Seed = seed;
    setup.New = quality;
    RolloutModel it(setup);
    it.run(1s);
    it.order("v2");
    it.run(setup.Period);
    CAPTURE(seed);
    CAPTURE(it.NewCalls);
    CAPTURE(it.TotalCalls);
    CAPTURE(it.BadAnswers);
    CHECK(it.keepsOrder());
    check(it);
  }
}

void checkRolledBack(const RolloutModel &it) {
  CHECK(it.ended(Phase::RolledBack));
  CHECK(it.keepsExposure());
  CHECK(it.LateCalls == 0);
}

} // namespace

TEST_CASE("a good version is completed within its period") {
  runVersions({}, [](const RolloutModel &it) {
    CHECK(it.ended(Phase::Completed));
    CHECK(it.NewCalls > it.TotalCalls / 10);
  });
}

TEST_CASE("a version that fails at once is rolled back") {
  Quality quality;
  SUBCASE("all answers") { quality.FailPermille = 1000; }
  SUBCASE("a fifth of the answers") { quality.FailPermille = 200; }
  SUBCASE("answers five times slower") { quality.SlowPermille = 400; }
  runVersions(quality, checkRolledBack);
}

TEST_CASE("a version that turns bad late is rolled back") {
  Quality quality;
  quality.FailPermille = 300;
  SUBCASE("in the canary steps") { quality.BadFrom = 6s; }
  SUBCASE("before the last step") { quality.BadFrom = 8500ms; }
  SUBCASE("in the last step, slow") {
    quality.BadFrom = 9s;
    quality.FailPermille = 0;
    quality.SlowPermille = 500;
  }
  runVersions(quality, checkRolledBack);
}

TEST_CASE("a version that is bad under load is rolled back") {
  Quality quality;
  quality.FailPermille = 400;
  SUBCASE("at half the load") { quality.FromLoadPermille = 500; }
  SUBCASE("at nearly the whole load") { quality.FromLoadPermille = 900; }
  runVersions(quality, checkRolledBack);
}

TEST_CASE("a version that is bad on one route is rolled back") {
  Quality quality;
  quality.OnlyRoute = "pay";
  quality.FailPermille = 400;
  runVersions(quality, checkRolledBack);
}

TEST_CASE("a service with few calls is moved too") {
  Setup setup;
  setup.CallsPerSecond = 2;
  RolloutModel it(setup);
  it.order("v2");
  it.run(setup.Period);
  CHECK(it.ended(Phase::Completed));
}

TEST_CASE("calls that bring few answers decide no roll-out by themselves") {
  for (uint32_t rate : {5, 10, 15, 20, 30, 40, 60, 80, 120})
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
      Setup setup;
      setup.Seed = seed;
      setup.CallsPerSecond = rate;
      CAPTURE(rate);
      CAPTURE(seed);
      RolloutModel good(setup);
      good.run(1s);
      good.order("v2");
      good.run(setup.Period);
      CHECK(good.ended(Phase::Completed));
      for (uint32_t permille : {1000, 400}) {
        setup.New.FailPermille = permille;
        RolloutModel bad(setup);
        bad.run(1s);
        bad.order("v2");
        bad.run(setup.Period);
        CAPTURE(bad.NewCalls);
        CAPTURE(bad.TotalCalls);
        CHECK(bad.keepsExposure());
        CHECK(bad.LateCalls == 0);
      }
    }
}

TEST_CASE("a node without the state keeps to the old version") {
  Setup setup;
  RolloutModel it(setup);
  it.order("v2");
  it.run(9500ms);
  auto &node = it.Nodes[it.decider().Id == "n0" ? 1 : 0];
  CHECK(node.Gate->sharePermille(it.Now) == 1000);
  it.cut(node, 60s);
  it.run(VersionGate::LeaseTime + 100ms);
  CHECK(node.Gate->sharePermille(it.Now) == 0);
}

TEST_CASE("a bad version is stopped though the store is down") {
  Setup setup;
  setup.New.FailPermille = 500;
  setup.New.BadFrom = 4s;
  RolloutModel it(setup);
  it.order("v2");
  it.run(3900ms);
  it.StoreDownUntil = it.Now + 6s;
  it.run(3s);
  const auto before = it.NewCalls;
  it.run(2s);
  CHECK(it.NewCalls == before);
  it.run(3s);
  CHECK(it.ended(Phase::RolledBack));
}

namespace {

/// One roll-out after another, with kills, freezes, cuts, store troubles and
/// new orders between the steps. Returns the model at the end of calm time.
void troubled(uint64_t seed, bool isGood) {
  Setup setup;
  setup.Seed = seed;
  setup.Nodes = 8;
  setup.CallsPerSecond = 300;
  if (!isGood)
    setup.New = {300, 200, 0s, {}, 0};
  RolloutModel it(setup);
  it.StrangePermille = 5;
  base::Random dice(seed * 7919);
  it.order("v2");
  bool isReplaced = false;
  for (int n = 0; n < 24; ++n) {
    it.run(Duration(300ms) + Duration(dice.below(400000)));
    auto &node = dice.below(2) == 0 ? it.decider()
                                    : it.Nodes[dice.below(it.Nodes.size())];
    switch (dice.below(9)) {
    case 0:
      it.kill(node, 500ms);
      break;
    case 1:
      it.freeze(node, Duration(dice.below(4000000)));
      break;
    case 2:
      it.cut(node, Duration(dice.below(4000000)));
      break;
    case 3:
      it.StoreDownUntil = it.Now + Duration(dice.below(1500000));
      break;
    case 4:
      it.LostPermille = 400;
      break;
    case 5:
      it.RefusedPermille = 400;
      break;
    case 6:
      it.DelayedPermille = 400;
      break;
    case 7:
      for (auto &other : it.Nodes)
        other.DecidesUntil = it.Now + Duration(dice.below(2000000));
      break;
    default:
      it.LostPermille = it.RefusedPermille = it.DelayedPermille = 0;
      if (!isReplaced && dice.below(4) == 0) {
        isReplaced = true;
        it.order("v3");
      }
    }
  }
  CAPTURE(seed);
  CAPTURE(isGood);
  CAPTURE(it.NewCalls);
  CAPTURE(it.TotalCalls);
  CAPTURE(it.BadAnswers);
  it.LostPermille = it.RefusedPermille = it.DelayedPermille = 0;
  it.run(20s);
  CHECK(it.keepsOrder());
  CHECK(it.states().back().isFinal());
  if (isGood)
    return;
  CHECK(it.ended(Phase::RolledBack));
  CHECK(it.keepsExposure());
  CHECK(it.LateCalls == 0);
}

} // namespace

TEST_CASE("no state goes back or is lost in 100 troubled roll-outs") {
  for (uint64_t seed = 1; seed <= 100; ++seed)
    troubled(seed, seed % 2 == 0);
}
