#include <LibFleet/FakeFleet.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

namespace {

struct StartedFleet : FakeFleet {
  StartedFleet(size_t nodes, uint64_t seed, uint32_t holders = 2)
      : FakeFleet(seed, holders) {
    for (size_t n = 0; n < nodes; ++n)
      start(n, "dc-" + std::to_string(n % 3));
    append(5);
    run(10s);
  }
};

void restart(FakeFleet &fleet, size_t n) {
  auto before = fleet.Nodes.at(n).self();
  fleet.start(n, before.Identity.DataCentre, before.Incarnation + 1000);
}

} // namespace

TEST_CASE("a record is in force everywhere within half a second") {
  for (uint64_t seed : {1, 2, 3, 4, 5}) {
    for (size_t nodes : {3, 12, 60}) {
      CAPTURE(seed);
      CAPTURE(nodes);
      StartedFleet fleet(nodes, seed);
      REQUIRE(fleet.servingAt(5) == nodes);
      fleet.append();
      auto taken =
          fleet.runUntil([&] { return fleet.servingAt(6) == nodes; }, 15s);
      CHECK(taken <= 500ms);
    }
  }
}

TEST_CASE("records reach all nodes within two seconds despite packet loss") {
  for (uint64_t seed : {1, 2, 3, 4, 5}) {
    StartedFleet fleet(30, seed);
    fleet.LossPercent = 20;
    fleet.append();
    auto taken = fleet.runUntil([&] { return fleet.servingAt(6) == 30; }, 15s);
    CHECK(taken <= 2s);
  }
}

TEST_CASE("reads of the log grow with data centres, not with nodes") {
  uint64_t readsOf[2] = {};
  for (size_t n : {0, 1}) {
    StartedFleet fleet(n == 0 ? 12 : 60, 1);
    fleet.Reads = 0;
    fleet.run(60s);
    readsOf[n] = fleet.Reads;
  }
  CHECK(readsOf[0] > 0);
  CHECK(readsOf[1] * 10 <= readsOf[0] * 15);
}

TEST_CASE("a tailer that dies is replaced") {
  StartedFleet fleet(12, 1);
  for (size_t n = 0; n < 12; ++n) {
    const auto &table = fleet.Nodes.at(n).table();
    NodeId id = "node-" + std::to_string(n);
    if (Replicator::isTailer(table, "dc-" + std::to_string(n % 3), id, 2))
      fleet.Down.insert(n);
  }
  REQUIRE(fleet.Down.size() == 6);
  fleet.append();
  fleet.runUntil([&] { return fleet.servingAt(6) == 6; }, 15s);
  CHECK(fleet.servingAt(6) == 6);
}

TEST_CASE(
    "a data centre cut off from the platform gets records through another") {
  StartedFleet fleet(12, 2);
  for (size_t n = 2; n < 12; n += 3)
    fleet.CutFromPlatform.insert(n);
  fleet.append();
  fleet.runUntil([&] { return fleet.servingAt(6) == 12; }, 15s);
  CHECK(fleet.servingAt(6) == 12);
}

TEST_CASE(
    "all but one node of a data centre restart while the platform is down") {
  for (uint64_t seed : {1, 2, 3, 4, 5}) {
    for (size_t survivor : {1, 4, 7}) {
      StartedFleet fleet(12, seed);
      fleet.PlatformUp = false;
      for (size_t n = 1; n < 12; n += 3)
        if (n != survivor)
          restart(fleet, n);
      fleet.runUntil([&] { return fleet.servingAt(5) == 12; }, 15s);
      CHECK(fleet.servingAt(5) == 12);
      CHECK(fleet.StepsBack == 0);
    }
  }
}

TEST_CASE("without a serving peer or the platform a node waits and gives the "
          "reason") {
  FakeFleet fleet(1);
  fleet.PlatformUp = false;
  for (size_t n = 0; n < 3; ++n)
    fleet.start(n, "dc");
  fleet.run(20s);
  CHECK(fleet.servingAt(0) == 0);
  CHECK(fleet.Held.at(0).Recovering.reason() ==
        "neither a serving peer nor the platform is reached");
  fleet.PlatformUp = true;
  fleet.runUntil([&] { return fleet.servingAt(0) == 3; }, 15s);
  CHECK(fleet.servingAt(0) == 3);
}

TEST_CASE("a single node with an expired log waits for a peer's state") {
  FakeFleet fleet(1);
  fleet.append(10);
  fleet.LogFirst = 4;
  fleet.start(0, "dc");
  fleet.run(10s);
  CHECK(fleet.servingAt(0) == 0);
  CHECK(fleet.Held.at(0).Recovering.stateName() == "waiting");
}

TEST_CASE("a partitioned data centre gets records that expired as a state") {
  StartedFleet fleet(12, 3);
  fleet.partition([](size_t n) { return n % 3 == 2; });
  for (size_t n = 2; n < 12; n += 3)
    fleet.CutFromPlatform.insert(n);
  fleet.append(RecordStore::MaximumRecords + 100);
  fleet.run(10s);
  CHECK(fleet.servingAt(6) == 8);
  CHECK(fleet.servingAt(5) == 12);
  fleet.LogFirst = fleet.LogEnd - 10;
  fleet.CutFromPlatform.clear();
  fleet.Cut.clear();
  auto end = fleet.LogEnd - 1;
  fleet.runUntil([&] { return fleet.servingAt(end) == 12; }, 15s);
  CHECK(fleet.servingAt(end) == 12);
  CHECK(fleet.StepsBack == 0);
}

TEST_CASE("a log that has become shorter moves no node back") {
  StartedFleet fleet(12, 4);
  fleet.LogEnd = 3;
  restart(fleet, 4);
  fleet.run(10s);
  CHECK(fleet.servingAt(5) == 12);
  CHECK(fleet.StepsBack == 0);
}

TEST_CASE(
    "only waiting for holders keeps a restarted node from stepping back") {
  // Only one tailer receives a record before it restarts.
  auto stepsBackWith = [](uint32_t holders) {
    StartedFleet fleet(12, 5, holders);
    size_t tailer = 0;
    while (!Replicator::isTailer(fleet.Nodes.at(tailer).table(),
                                 "dc-" + std::to_string(tailer % 3),
                                 "node-" + std::to_string(tailer), 2))
      ++tailer;
    for (size_t n = 0; n < 12; ++n) {
      fleet.Cut.insert({tailer, n});
      if (n != tailer)
        fleet.CutFromPlatform.insert(n);
    }
    fleet.append();
    fleet.run(1s);
    fleet.PlatformUp = false;
    fleet.Cut.clear();
    restart(fleet, tailer);
    fleet.run(10s);
    CHECK(fleet.servingAt(5) == 12);
    return fleet.StepsBack;
  };
  CHECK(stepsBackWith(0) > 0);
  CHECK(stepsBackWith(2) == 0);
}

TEST_CASE("two thirds of the nodes restarted at once recover with bounded "
          "transfers") {
  for (uint64_t seed : {1, 2, 3}) {
    StartedFleet fleet(60, seed);
    fleet.append(1000);
    fleet.run(3s);
    fleet.StatesServed = 0;
    for (size_t n = 0; n < 60; ++n)
      if (n / 3 % 3 != 0)
        restart(fleet, n);
    fleet.append();
    auto end = fleet.LogEnd - 1;
    auto taken =
        fleet.runUntil([&] { return fleet.servingAt(end) == 60; }, 15s);
    CHECK(taken < 15s);
    CHECK(fleet.StepsBack == 0);
    CHECK(fleet.StatesServed <= 2 * 39);
  }
}

TEST_CASE("many nodes recovering slowly are told to retry, and none starves") {
  StartedFleet fleet(30, 6);
  fleet.append(1000);
  fleet.run(3s);
  fleet.StateTime = 400ms;
  for (size_t n = 3; n < 30; ++n)
    restart(fleet, n);
  fleet.runUntil([&] { return fleet.servingAt(1005) == 30; }, 15s);
  CHECK(fleet.servingAt(1005) == 30);
  CHECK(fleet.BusyAnswers > 0);
}
