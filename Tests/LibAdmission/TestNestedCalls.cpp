#include <LibAdmission/NestedKinds.h>
#include <LibAdmission/NodeGate.h>
#include <LibAdmission/TargetGate.h>
#include <LibBase/Random.h>
#include <LibCalls/BrokerFixture.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

using Kind = GateAnswer::Kind;

const NestedKinds::Kind Client{Rank::Standard, 500ms};
const NestedKinds::Kind Nested{Rank::Background, 100ms};

/// The gate of one target whose slots are all in use. Its calls take 20 ms.
struct FullGate {
  explicit FullGate(uint32_t slots) {
    TargetGateSettings settings;
    settings.State = TargetState::Ready;
    settings.Slots = slots;
    settings.Connections = 120;
    Gate.configure(settings, at(0s));
    for (const auto rank : {Rank::Critical, Rank::Background})
      for (const auto objective : {100ms, 500ms})
        Gate.ended(arrive(rank, objective, false, -20ms).Call,
                   AttemptEnd::Answered, at(0s));
    for (uint32_t n = 0; n < slots; ++n)
      Running.push_back(arrive(Rank::Standard, 500ms, false).Call);
  }
  GateAnswer arrive(Rank rank, base::Duration objective, bool isNested,
                    base::Duration passed = 0s) {
    return Gate.arrive(++Last, rank, 300ms, 0, at(passed), objective, isNested);
  }

  trace::NullRecorder Recorder;
  TargetGate Gate{"t", Recorder};
  std::vector<Ticket> Running;
  Ticket Last = 0;
};

} // namespace

TEST_CASE("a kind that never comes from the own service is nested") {
  NestedKinds kinds;
  base::Random random(1);
  size_t firstNested = 0;
  for (size_t n = 1; n <= 4000; ++n) {
    // A tenth of the clients' calls begin on VMs of the called service.
    CHECK_FALSE(kinds.arrived(Client, random.below(10) == 0));
    if (kinds.arrived(Nested, false) && firstNested == 0)
      firstNested = n;
  }
  CHECK(firstNested >= 50);
  CHECK(firstNested <= 300);
}

TEST_CASE("no kind is nested without calls from the own service to compare") {
  NestedKinds kinds;
  for (int n = 0; n < 4000; ++n) {
    CHECK_FALSE(kinds.arrived(Client, false));
    CHECK_FALSE(kinds.arrived(Nested, false));
  }
}

TEST_CASE(
    "a kind that clients call from everywhere is rarely taken as nested") {
  size_t wrong = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    NestedKinds kinds;
    base::Random random(seed);
    for (int n = 0; n < 2000; ++n) {
      kinds.arrived(Client, random.below(15) == 0);
      wrong += kinds.arrived({Rank::Critical, 300ms}, random.below(15) == 0);
    }
  }
  CHECK(wrong < 200 * 2000 / 500);
}

TEST_CASE(
    "a nested call goes before new work of any rank and may wait longer") {
  FullGate it(1);
  // Its own objective of 100 ms would not let it wait for 50 ms.
  const auto urgent = it.arrive(Rank::Critical, 500ms, false);
  const auto nested = it.arrive(Rank::Background, 100ms, true);
  CHECK(urgent.What == Kind::Queued);
  REQUIRE(nested.What == Kind::Queued);
  CHECK(nested.IsNested);
  CHECK(it.Gate.tick(at(60ms)).empty());
  const auto next =
      it.Gate.ended(it.Running[0], AttemptEnd::Answered, at(60ms));
  REQUIRE(next.size() == 1);
  CHECK(next[0].Call == nested.Call);
}

TEST_CASE("the same call as new work does not get the slot") {
  FullGate it(1);
  CHECK(it.arrive(Rank::Critical, 500ms, false).What == Kind::Queued);
  CHECK(it.arrive(Rank::Background, 100ms, false).What == Kind::Refuse);
}

TEST_CASE("a nested call that cannot start in half its time is refused") {
  FullGate it(1);
  const auto nested = it.arrive(Rank::Background, 100ms, true);
  REQUIRE(nested.What == Kind::Queued);
  const auto refused = it.Gate.tick(at(150ms));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Call == nested.Call);
  CHECK(refused[0].Code == ResultCode::Overloaded);
}

TEST_CASE("a caller's node never sheds calls that it was told to be nested") {
  BrokerFixture it;
  auto run = [&it](bool isNested) {
    size_t shed = 0;
    for (int n = 0; n < 400; ++n) {
      const auto call = it.begin("/lookup");
      auto step = it.stepOf(call);
      shed += step.Stop == StopReason::Shed ? 1 : 0;
      while (step.What == CallStep::Kind::Send) {
        auto result = ends(AttemptEnd::RefusedNotRun, ResultCode::Overloaded);
        result.IsNested = isNested;
        step = it.Node.attemptEnded(call, result, at(it.Now));
      }
      it.Node.end(call, at(it.Now));
    }
    return shed;
  };
  CHECK(run(false) > 100);
  it.pass(40s);
  CHECK(run(true) <= 1);
}
