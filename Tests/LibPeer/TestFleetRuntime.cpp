#include <FreeAddress.h>
#include <LibFleet/RecoveryPlayer.h>
#include <LibFleet/ReplicatorPlayer.h>
#include <LibLog/FoldPlayer.h>
#include <LibLog/SnapshotParts.h>
#include <LibPeer/FleetRuntime.h>
#include <LibPeer/MockPlatform.h>
#include <LibTrace/Replay.h>
#include <LibTrace/RingRecorder.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <memory>

using namespace radishcross;
using namespace radishcross::peer;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// The system clock plus an adjustment that a test can set.
struct AdjustableClock final : base::Clock {
  base::TimePoint now() const override { return System.now() + Adjustment; }
  base::SystemClock System;
  base::Duration Adjustment{};
};

struct TestNode {
  base::Metrics Counters;
  std::shared_ptr<FleetRuntime> Fleet;
  std::vector<log::Offset> FoldOffsets;
  std::vector<std::string> Notices;
};

/// Several runtimes on loopback that share an event loop and a mock platform.
struct LoopbackFleet {
  asio::io_context Context;
  AdjustableClock Time;
  std::vector<std::unique_ptr<trace::RingRecorder>> Rings;
  MockPlatform Platform{Context};
  std::vector<base::Address> Seeds{test::freeAddress()};
  std::vector<std::unique_ptr<TestNode>> Nodes;

  TestNode &start(const std::string &dataCentre,
                  std::vector<std::string> keys = {"a mesh key"}) {
    auto node = std::make_unique<TestNode>();
    FleetEnvironment it;
    it.Context = &Context;
    it.Time = &Time;
    it.Counters = &node->Counters;
    Rings.push_back(
        std::make_unique<trace::RingRecorder>(trace::RingRecorderLimits{}));
    it.Recorder = Rings.back().get();
    it.Platform = &Platform;
    it.Self.Id = "node-" + std::to_string(Nodes.size());
    it.Self.DataCentre = dataCentre;
    it.Self.Gossip = Nodes.empty() ? Seeds[0] : test::freeAddress();
    it.Self.Peer = test::freeAddress();
    it.Seeds = Seeds;
    it.MeshKeys = std::move(keys);
    it.RandomSeed = Nodes.size() + 1;
    it.FoldAdvanced = [raw = node.get()](const log::Fold &fold) {
      raw->FoldOffsets.push_back(fold.offset());
    };
    it.NoticeReceived = [raw = node.get()](std::string_view topic,
                                           std::string_view text,
                                           base::Duration) {
      raw->Notices.push_back(std::string(topic) + "=" + std::string(text));
    };
    base::LastReason reason;
    auto created = FleetRuntime::create(std::move(it), reason);
    CAPTURE(reason.line());
    REQUIRE(created);
    node->Fleet = *created;
    Nodes.push_back(std::move(node));
    return *Nodes.back();
  }

  /// Runs the event loop until \p holds returns true; returns false after 20 s.
  template <typename Condition> bool runUntil(Condition holds) {
    auto end = Time.System.now() + 20s;
    while (!holds() && Time.System.now() < end)
      Context.run_one_for(100ms);
    return holds();
  }

  bool allServe(log::Offset offset) const {
    for (const auto &it : Nodes)
      if (!it->Fleet->ready() || it->Fleet->fold().offset() < offset)
        return false;
    return true;
  }
};

} // namespace

TEST_CASE("nodes of two data centres join, fold the log and gossip updates") {
  LoopbackFleet fleet;
  fleet.Platform.appendDrain("a");
  for (const char *it : {"dc-0", "dc-0", "dc-0", "dc-1"})
    fleet.start(it);
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(1); }));
  REQUIRE(fleet.runUntil([&] {
    for (const auto &it : fleet.Nodes)
      if (it->Fleet->members().size() != 4)
        return false;
    return true;
  }));

  fleet.Platform.appendDrain("b");
  fleet.Nodes[0]->Fleet->requestLogRead();
  REQUIRE(fleet.runUntil([&] {
    for (const auto &it : fleet.Nodes)
      if (!it->Fleet->fold().drained().contains("vm:b"))
        return false;
    return fleet.allServe(fleet.Platform.Records.size());
  }));
  for (const auto &it : fleet.Nodes) {
    CHECK(it->Fleet->fold().hash() == fleet.Nodes[0]->Fleet->fold().hash());
    CHECK(std::is_sorted(it->FoldOffsets.begin(), it->FoldOffsets.end()));
    CHECK(it->Counters.counter("steps_back_total") == 0);
    CHECK(it->Fleet->controlBytes() > 0);
  }

  fleet::TargetRecord target;
  target.Service = "badges/lookup";
  target.TargetId = "t";
  fleet.Nodes[1]->Fleet->setTargets({target});
  fleet.Nodes[1]->Fleet->broadcastNotice("quarantine/1", "f", 1min);
  auto seesTarget = [](const TestNode &node) {
    for (const auto &it : node.Fleet->members())
      if (it.Identity.Id == "node-1" && it.Targets.size() == 1)
        return true;
    return false;
  };
  CHECK(fleet.runUntil([&] {
    return seesTarget(*fleet.Nodes[3]) && fleet.Nodes[3]->Notices.size() == 1;
  }));
  CHECK(fleet.Nodes[3]->Notices[0] == "quarantine/1=f");

  bool left = false;
  fleet.Nodes[2]->Fleet->leave([&] { left = true; });
  CHECK(fleet.runUntil([&] {
    for (const auto &it : fleet.Nodes[0]->Fleet->members())
      if (it.Identity.Id == "node-2")
        return left && it.State == fleet::MemberState::Left;
    return false;
  }));
}

TEST_CASE(
    "an answer that arrived late confirms the external configuration as of "
    "its arrival") {
  LoopbackFleet fleet;
  auto &node = *fleet.start("dc-0").Fleet;
  node.setExternalVersion(1);
  auto now = fleet.Time.now();
  node.noteExternalRead({now - 1600ms, now - 1s});
  REQUIRE(node.externalAge());
  CHECK(*node.externalAge() >= 1s);
}

TEST_CASE("a joining node recovers from peers while the platform is down") {
  LoopbackFleet fleet;
  for (int n = 0; n < 5; ++n)
    fleet.Platform.appendDrain(std::to_string(n));
  fleet.start("dc-0");
  fleet.start("dc-0");
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(5); }));
  fleet.Platform.IsUp = false;
  auto &newcomer = fleet.start("dc-0");
  CHECK_FALSE(newcomer.Fleet->ready());
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(5); }));
  CHECK(newcomer.FoldOffsets.front() >= 5);
  CHECK(newcomer.Fleet->fold().hash() == fleet.Nodes[0]->Fleet->fold().hash());

  // A replay of each recording reproduces its decisions; a replay of an altered
  // one does not.
  trace::Replay replay([] {
    trace::Replay::Players players;
    players[trace::Module::Recovery] =
        std::make_unique<fleet::RecoveryPlayer>();
    players[trace::Module::Fold] = std::make_unique<log::FoldPlayer>();
    players[trace::Module::Spreader] =
        std::make_unique<fleet::ReplicatorPlayer>();
    return players;
  });
  for (const auto &ring : fleet.Rings) {
    auto recorded = ring->recording("node", 0, 0);
    auto report = replay.run(recorded);
    CHECK(report.Played >= 6);
    CHECK_FALSE(report.FirstDifference);
    recorded.Entries.back().Decided[2] += 5;
    CHECK(replay.run(recorded).FirstDifference);
  }
}

TEST_CASE("a state that the log no longer holds is transferred from a peer") {
  LoopbackFleet fleet;
  for (int n = 0; n < 5; ++n)
    fleet.Platform.appendDrain(std::to_string(n));
  fleet.start("dc-0");
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(5); }));
  fleet.Platform.First = 5;
  fleet.start("dc-1");
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(5); }));
  CHECK(fleet.Nodes[1]->Fleet->fold().hash() ==
        fleet.Nodes[0]->Fleet->fold().hash());
}

TEST_CASE("a newcomer without live seeds joins and recovers through an address "
          "that it is given") {
  LoopbackFleet fleet;
  fleet.Platform.appendDrain("a");
  fleet.Platform.appendDrain("b");
  auto &first = fleet.start("dc-0");
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(2); }));
  auto known = std::exchange(fleet.Seeds, {test::freeAddress()});
  // The first record has expired, so that only a peer has the state.
  fleet.Platform.First = 2;
  auto &newcomer = fleet.start("dc-1");
  newcomer.Fleet->addSeeds(known);
  CHECK(fleet.runUntil(
      [&] { return fleet.allServe(2) && first.Fleet->members().size() == 2; }));
  // Membership is not written to the log.
  CHECK(fleet.Platform.Records.size() == 2);
}

TEST_CASE(
    "during key rotation old and new keys are accepted, unknown ones dropped") {
  LoopbackFleet fleet;
  fleet.Platform.appendDrain("a");
  fleet.start("dc-0", {"old"});
  fleet.start("dc-0", {"old", "new"});
  fleet.start("dc-0", {"old", "new"});
  fleet.start("dc-0", {"stranger"});
  REQUIRE(fleet.runUntil([&] {
    return fleet.Nodes[0]->Fleet->members().size() == 3 &&
           fleet.Nodes[2]->Fleet->members().size() == 3;
  }));
  CHECK(fleet.runUntil([&] {
    return fleet.Nodes[0]->Counters.counter(
               "datagrams_dropped_total{reason=\"unauthenticated\"}") > 0;
  }));
  CHECK(fleet.Nodes[3]->Fleet->members().size() == 1);
}

TEST_CASE(
    "a log that came back shorter raises an alarm and causes no step back") {
  LoopbackFleet fleet;
  for (int n = 0; n < 5; ++n)
    fleet.Platform.appendDrain(std::to_string(n));
  auto &node = fleet.start("dc-0");
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(5); }));
  fleet.Platform.Records.resize(2);
  CHECK(fleet.runUntil([&] {
    return node.Counters.prometheusText().find("log_shortened 1") !=
           std::string::npos;
  }));
  CHECK(node.Fleet->ready());
  CHECK(node.Fleet->fold().offset() >= 5);
}

TEST_CASE("a fleet that lost every copy of the state starts from the log's "
          "snapshot") {
  LoopbackFleet fleet;
  log::Fold fold;
  for (int n = 0; n < 5; ++n)
    fleet.Platform.appendDrain(std::to_string(n));
  for (const auto &it : fleet.Platform.Records)
    fold.apply(it);
  // Snapshots of two writers confirm each other; one alone is accepted once the
  // confirmation timeout has passed.
  bool isConfirmed = false;
  SUBCASE("confirmed") { isConfirmed = true; }
  SUBCASE("unconfirmed") {}
  for (const char *writer : {"node-8", "node-9"})
    for (const auto &it : log::makeSnapshotParts(fold, {"", writer, ""}))
      if (isConfirmed || writer == std::string("node-8"))
        fleet.Platform.Records.push_back(
            {fleet.Platform.Records.size() + 1, log::encodeRecord(it)});
  fleet.Platform.appendDrain("last");
  auto end = fleet.Platform.Records.size();
  fleet.Platform.First = 4;
  auto &node = fleet.start("dc-0");
  if (!isConfirmed) {
    REQUIRE(fleet.runUntil([&] { return fleet.Platform.Reads > 6; }));
    CHECK_FALSE(node.Fleet->ready());
    fleet.Time.Adjustment = 11s;
  }
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(end); }));
  CHECK(node.Fleet->fold().drained().contains("vm:0"));
  CHECK(node.Fleet->fold().drained().contains("vm:last"));
  CHECK(node.Counters.counter("snapshots_unconfirmed_total") ==
        (isConfirmed ? 0 : 1));
}

TEST_CASE(
    "a serving node that fell behind what the log has dropped starts from "
    "its snapshot") {
  LoopbackFleet fleet;
  for (int n = 0; n < 5; ++n)
    fleet.Platform.appendDrain(std::to_string(n));
  auto &node = fleet.start("dc-0");
  REQUIRE(fleet.runUntil([&] { return fleet.allServe(5); }));
  fleet.Platform.IsUp = false;
  for (int n = 5; n < 8; ++n)
    fleet.Platform.appendDrain(std::to_string(n));
  log::Fold fold;
  for (const auto &it : fleet.Platform.Records)
    fold.apply(it);
  for (const char *writer : {"node-8", "node-9"})
    for (const auto &it : log::makeSnapshotParts(fold, {"", writer, ""}))
      fleet.Platform.Records.push_back(
          {fleet.Platform.Records.size() + 1, log::encodeRecord(it)});
  fleet.Platform.appendDrain("last");
  for (const auto &it : fleet.Platform.Records)
    fold.apply(it);
  fleet.Platform.First = 9;
  fleet.Platform.IsUp = true;
  auto end = fleet.Platform.Records.size();
  CHECK(fleet.runUntil([&] { return fleet.allServe(end); }));
  CHECK(node.Fleet->fold().hash() == fold.hash());
  CHECK(node.Counters.counter("steps_back_total") == 0);
  // Only the writer of a snapshot drops the records it covers.
  CHECK(fleet.Platform.CoveredOffset == 0);
}

TEST_CASE(
    "a snapshot is written to the log, and the records it covers are dropped") {
  LoopbackFleet fleet;
  SUBCASE("the writer reads it back") {}
  // The parts may arrive from a peer first, and are empty then.
  SUBCASE("the writer relies on the append answers") {
    fleet.Platform.BlanksSnapshots = true;
  }
  for (int n = 0; n < 1100; ++n)
    fleet.Platform.appendDrain(std::to_string(n));
  fleet.start("dc-0");
  auto snapshots = [&] {
    log::SnapshotAssembler assembler;
    size_t count = 0;
    base::LastReason reason;
    for (const auto &it : fleet.Platform.Records)
      if (auto record = log::decodeRecord(it.Bytes, reason);
          record && record->Kind == log::RecordKind::Snapshot)
        count += assembler.take(*record, it.At, reason) ? 1 : 0;
    return count;
  };
  CHECK(fleet.runUntil([&] { return snapshots() > 0; }));
  CHECK(fleet.runUntil([&] {
    // Never before the snapshot is complete in the log.
    CHECK((fleet.Platform.CoveredOffset == 0 || snapshots() > 0));
    return fleet.Platform.CoveredOffset > 0;
  }));
  CHECK(fleet.Platform.CoveredOffset >= 1000);
  CHECK(fleet.Platform.CoveredOffset <= 1100);
}

TEST_CASE("a node does not take its own notice for another node's") {
  // Guards against a first crash that counts twice and quarantines a request.
  LoopbackFleet fleet;
  fleet.start("dc-0");
  fleet.start("dc-0");
  REQUIRE(fleet.runUntil([&] {
    return fleet.allServe(0) && fleet.Nodes[0]->Fleet->members().size() == 2;
  }));
  fleet.Nodes[0]->Fleet->broadcastNotice("quarantine/1/1", "f", 1min);
  CHECK(fleet.runUntil([&] { return fleet.Nodes[1]->Notices.size() == 1; }));
  CHECK(fleet.Nodes[0]->Notices.empty());
  fleet.Nodes[1]->Fleet->broadcastNotice("quarantine/1/1", "g", 1min);
  CHECK(fleet.runUntil([&] { return fleet.Nodes[0]->Notices.size() == 1; }));
}
