#include <LibRollout/RolloutDecider.h>

#include <LibRollout/DeciderChoice.h>
#include <LibRollout/VersionGate.h>
#include <doctest/doctest.h>
#include <utility>

using namespace radishcross;
using namespace radishcross::rollout;
using namespace std::chrono_literals;

namespace {

constexpr Bounds Limits{100, 50, 5s};

struct DeciderFixture {
  DeciderFixture() {
    Decider.ordered({"lookup", "v2", 12s, 3}, Now);
    Decider.appointed(true);
    Decider.targets(4, 4);
  }
  std::optional<Action> next(Action::Kind kind) {
    for (const auto &it : Decider.tick(Now))
      if (it.What == kind)
        return it;
    return std::nullopt;
  }
  void readState(uint64_t end, std::optional<StoredProgress> newest = {}) {
    REQUIRE(next(Action::Kind::Read));
    Decider.readDone({true, end, std::move(newest)}, Now);
  }
  void accept(uint64_t offset) {
    Decider.writeDone({WriteAnswer::Kind::Accepted, offset}, Now);
  }

  RolloutDecider Decider{Limits};
  base::TimePoint Now{10s};
};

} // namespace

TEST_CASE_FIXTURE(DeciderFixture, "a state is read before it is written") {
  readState(7);
  const auto write = next(Action::Kind::Write);
  REQUIRE(write);
  CHECK(write->At == 7);
  CHECK(write->Value == Progress{3, "v2", Phase::Running, 0, 0s});
  // One call to the store at a time.
  CHECK_FALSE(next(Action::Kind::Read));
  accept(7);
  const auto tell = next(Action::Kind::Tell);
  REQUIRE(tell);
  CHECK(tell->Told.Offset == 7);
}

TEST_CASE_FIXTURE(DeciderFixture, "a node that is not appointed does nothing") {
  Decider.appointed(false);
  CHECK(Decider.tick(Now).empty());
}

TEST_CASE_FIXTURE(DeciderFixture, "a write without an answer is read again") {
  for (const auto outcome :
       {WriteAnswer::Kind::Unknown, WriteAnswer::Kind::Refused}) {
    readState(7);
    REQUIRE(next(Action::Kind::Write));
    Decider.writeDone({outcome, 0}, Now);
    CHECK(Decider.tick(Now).empty());
    Now += RolloutDecider::RetryDelay;
  }
  readState(8, StoredProgress{7, {3, "v2", Phase::RolledBack, 0, 0s}});
  CHECK_FALSE(next(Action::Kind::Write));
  CHECK(Decider.known()->Value.State == Phase::RolledBack);
}

TEST_CASE_FIXTURE(DeciderFixture, "a state of an older order is no state") {
  readState(7, StoredProgress{6, {2, "v1", Phase::Completed, 4, 0s}});
  const auto write = next(Action::Kind::Write);
  REQUIRE(write);
  CHECK(write->Value.State == Phase::Running);
}

TEST_CASE_FIXTURE(DeciderFixture, "an unconfirmed state is not told") {
  readState(7);
  REQUIRE(next(Action::Kind::Write));
  accept(7);
  CHECK(next(Action::Kind::Tell));
  Now += VersionGate::LeaseTime;
  const auto actions = Decider.tick(Now);
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].What == Action::Kind::Read);
  Decider.readDone({}, Now);
  Now += RolloutDecider::TellInterval;
  CHECK_FALSE(next(Action::Kind::Tell));
}

TEST_CASE_FIXTURE(DeciderFixture,
                  "a fault is told though it can't be written") {
  readState(7);
  REQUIRE(next(Action::Kind::Write));
  accept(7);
  CHECK(next(Action::Kind::Tell));
  NodeCounts counts{"n", 3, 1, 1, false, {{"look", {40, 30}, {400, 0}}}};
  Decider.counted(counts, Now);
  REQUIRE(Decider.fault());
  const auto actions = Decider.tick(Now);
  REQUIRE(actions.size() == 2);
  CHECK(actions[0].What == Action::Kind::Halt);
  CHECK(actions[0].OrderAt == 3);
  CHECK(actions[1].What == Action::Kind::Write);
  CHECK(actions[1].Value.State == Phase::RolledBack);
}

TEST_CASE_FIXTURE(DeciderFixture, "a halt outlives the decider that told it") {
  NodeCounts counts{"n", 3, 1, 1, true, {}};
  Decider.counted(counts, Now);
  readState(8, StoredProgress{7, {3, "v2", Phase::Running, 2, 4s}});
  const auto write = next(Action::Kind::Write);
  REQUIRE(write);
  CHECK(write->Value.State == Phase::RolledBack);
}

TEST_CASE_FIXTURE(DeciderFixture, "an order ends with its period") {
  readState(8, StoredProgress{7, {3, "v2", Phase::Running, 2, 11s}});
  CHECK_FALSE(next(Action::Kind::Write));
  Now += 1s;
  readState(8, StoredProgress{7, {3, "v2", Phase::Running, 2, 11s}});
  const auto write = next(Action::Kind::Write);
  REQUIRE(write);
  CHECK(write->Value.State == Phase::RolledBack);
}

TEST_CASE_FIXTURE(DeciderFixture, "nothing is given up for too few targets") {
  Decider.targets(1, 4);
  readState(8, StoredProgress{7, {3, "v2", Phase::Running, 2, 8400ms}});
  Now += 900ms;
  CHECK_FALSE(next(Action::Kind::Write));
  Decider.targets(2, 4);
  CHECK(next(Action::Kind::Write));
}

TEST_CASE("each service has one decider among the nodes that are live") {
  const std::vector<std::string> all{"a", "b", "c"};
  const std::string first{deciderOf("lookup", all)};
  std::vector<std::string> rest;
  for (const auto &it : all)
    if (it != first)
      rest.push_back(it);
  const auto second = deciderOf("lookup", rest);
  CHECK_FALSE(second.empty());
  CHECK(second != first);
  CHECK(deciderOf("lookup", {}).empty());
}
