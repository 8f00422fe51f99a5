#include <LibFleet/FakeMesh.h>
#include <LibFleet/NoticeBoard.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

namespace {

struct ThreeDataCentres : FakeMesh {
  explicit ThreeDataCentres(uint64_t seed, uint64_t lossPercent = 0)
      : FakeMesh(seed) {
    LossPercent = lossPercent;
    for (size_t n = 0; n < 12; ++n)
      add(n, "dc-" + std::to_string(n % 3));
  }
};

bool allKnowAll(const FakeMesh &mesh) {
  for (const auto &[n, node] : mesh.Nodes)
    if (mesh.seenAs(node.self().Identity.Id, MemberState::Alive) !=
        mesh.Nodes.size())
      return false;
  return true;
}

TargetRecord readyTarget(uint32_t loadPermille = 0) {
  TargetRecord target;
  target.Service = "badges/lookup";
  target.TargetId = "t";
  target.State = TargetState::Ready;
  target.LoadPermille = loadPermille;
  return target;
}

} // namespace

TEST_CASE("nodes of three data centres join through seeds") {
  for (uint64_t seed : {1, 2, 3, 4, 5}) {
    for (uint64_t loss : {0, 20}) {
      CAPTURE(seed);
      CAPTURE(loss);
      ThreeDataCentres mesh(seed, loss);
      base::Duration limit = loss == 0 ? 3s : 20s;
      CHECK(mesh.runUntil([&] { return allKnowAll(mesh); }, limit) < limit);
      // Packet loss may cause suspicions, but each is refuted in time.
      for (int n = 0; n < 20; ++n) {
        mesh.run(1s);
        for (const auto &[i, node] : mesh.Nodes)
          REQUIRE(mesh.seenAs(node.self().Identity.Id, MemberState::Dead) == 0);
      }
    }
  }
}

TEST_CASE("a change of targets reaches all nodes within a second") {
  for (uint64_t seed : {1, 2, 3, 4, 5}) {
    ThreeDataCentres mesh(seed);
    mesh.run(5s);
    auto &origin = mesh.Nodes.at(7);
    origin.setTargets({readyTarget()}, mesh.Now);
    mesh.run(1s);
    for (const auto &[n, node] : mesh.Nodes)
      CHECK(node.table().find("node-7")->Targets.size() == 1);
  }
}

TEST_CASE(
    "a change of load alone is announced only in coarse steps and rarely") {
  ThreeDataCentres mesh(1);
  mesh.run(5s);
  auto &origin = mesh.Nodes.at(7);
  origin.setTargets({readyTarget(0)}, mesh.Now);
  auto revision = origin.self().Revision;
  struct Case {
    uint32_t Load;
    base::Duration After;
    uint64_t Raised;
  };
  for (auto it : {Case{200, 0s, 0}, Case{600, 0s, 1}, Case{900, 1s, 1},
                  Case{900, 20s, 2}}) {
    CAPTURE(it.Load);
    origin.setTargets({readyTarget(it.Load)}, mesh.Now + it.After);
    CHECK(origin.self().Revision == revision + it.Raised);
  }
}

TEST_CASE(
    "a dead node is detected by its data centre and announced to all nodes") {
  for (uint64_t seed : {1, 2, 3, 4, 5}) {
    ThreeDataCentres mesh(seed);
    mesh.run(5s);
    mesh.Down.insert(7);
    mesh.run(15s);
    CHECK(mesh.seenAs("node-7", MemberState::Dead) == 11);
    mesh.add(7, "dc-1", 2000);
    mesh.run(5s);
    CHECK(allKnowAll(mesh));
  }
}

TEST_CASE("one broken path with packet loss gets no node declared dead") {
  for (uint64_t seed : {1, 2, 3}) {
    ThreeDataCentres mesh(seed, 5);
    mesh.Cut = {{1, 4}, {4, 1}};
    mesh.run(60s);
    CHECK(allKnowAll(mesh));
  }
}

TEST_CASE("a suspicion is refuted with a higher incarnation") {
  ThreeDataCentres mesh(1);
  mesh.run(5s);
  MemberUpdate suspicion{mesh.Nodes.at(4).self(), false};
  suspicion.Record.State = MemberState::Suspect;
  GossipMessage message;
  message.Updates.push_back(suspicion);
  mesh.post(1, mesh.Nodes.at(1).handleDatagram({"node-10", fakeAddress(10)},
                                               message, mesh.Now));
  CHECK(mesh.seenAs("node-4", MemberState::Suspect) == 1);
  mesh.run(2s);
  CHECK(allKnowAll(mesh));
  CHECK(mesh.Nodes.at(4).self().Incarnation == 1001);
}

TEST_CASE("a partitioned data centre keeps its members and catches up") {
  ThreeDataCentres mesh(3);
  mesh.run(5s);
  mesh.partition([](size_t n) { return n % 3 == 2; });
  mesh.run(120s);
  CHECK(allKnowAll(mesh));
  mesh.Nodes.at(2).setTargets({readyTarget()}, mesh.Now);
  mesh.run(5s);
  CHECK(mesh.Nodes.at(0).table().find("node-2")->Targets.empty());
  mesh.Cut.clear();
  mesh.run(15s);
  CHECK(mesh.Nodes.at(0).table().find("node-2")->Targets.size() == 1);
}

TEST_CASE(
    "two halves of a data centre that declared each other dead merge again") {
  FakeMesh mesh(9);
  for (size_t n = 0; n < 6; ++n)
    mesh.add(n, "dc");
  mesh.run(5s);
  mesh.partition([](size_t n) { return n < 3; });
  mesh.run(30s);
  CHECK(mesh.seenAs("node-0", MemberState::Dead) == 3);
  mesh.Cut.clear();
  mesh.run(60s);
  CHECK(allKnowAll(mesh));
}

TEST_CASE("a node that was paused suspects no other node") {
  ThreeDataCentres mesh(2);
  mesh.run(5s);
  mesh.Now += 60s;
  mesh.run(5s);
  CHECK(allKnowAll(mesh));
}

TEST_CASE("a node that leaves is seen as left by all nodes") {
  ThreeDataCentres mesh(2);
  mesh.run(5s);
  MembershipActions last;
  last.Sends = mesh.Nodes.at(5).leave(mesh.Now);
  mesh.post(5, std::move(last));
  mesh.run(2s);
  CHECK(mesh.seenAs("node-5", MemberState::Left) == 12);
}

TEST_CASE(
    "a node whose drain was announced before is seen as left within 50 ms") {
  for (uint64_t seed : {1, 2, 3}) {
    ThreeDataCentres mesh(seed);
    auto &node = mesh.Nodes.at(5);
    node.setTargets({readyTarget()}, mesh.Now);
    mesh.run(5s);
    auto target = readyTarget();
    target.State = TargetState::Draining;
    node.setTargets({target}, mesh.Now);
    mesh.run(2s);
    MembershipActions last;
    last.Sends = node.leave(mesh.Now);
    mesh.post(5, std::move(last));
    mesh.run(50ms);
    CHECK(mesh.seenAs("node-5", MemberState::Left) == 12);
  }
}

TEST_CASE("a node that restarts after its clock stepped back is accepted") {
  ThreeDataCentres mesh(2);
  mesh.run(5s);
  mesh.add(7, "dc-1", 500);
  mesh.Nodes.at(7).setTargets({readyTarget()}, mesh.Now);
  mesh.run(5s);
  CHECK(allKnowAll(mesh));
  CHECK(mesh.Nodes.at(0).table().find("node-7")->Targets.size() == 1);
}

TEST_CASE("notices reach all nodes once and expire with their lifetime") {
  ThreeDataCentres mesh(4);
  mesh.run(5s);
  mesh.Nodes.at(3).post({"quarantine", "f1", 1, 10000}, mesh.Now);
  mesh.run(3s);
  for (auto &[n, node] : mesh.Nodes) {
    auto arrived = node.takeNewNotices();
    REQUIRE(arrived.size() == 1);
    CHECK(arrived[0].Text == "f1");
  }
  mesh.run(10s);
  mesh.Nodes.at(3).post({"quarantine", "f0", 1, 10000}, mesh.Now);
  CHECK(mesh.Nodes.at(3).takeNewNotices().size() == 1);
}

TEST_CASE("a node that was away learns the notices that were sent meanwhile") {
  // Guards against quarantines that restarted or cut off nodes never learn.
  ThreeDataCentres mesh(4);
  mesh.run(5s);
  SUBCASE("it starts again") {
    mesh.Nodes.at(3).post({"quarantine", "f1", 1, 600'000}, mesh.Now);
    mesh.run(30s);
    mesh.add(7, "dc-1", 2000);
  }
  SUBCASE("it was cut off") {
    mesh.partition([](size_t n) { return n == 7; });
    mesh.Nodes.at(3).post({"quarantine", "f1", 1, 600'000}, mesh.Now);
    mesh.run(30s);
    mesh.Cut.clear();
  }
  SUBCASE("all nodes start again in turn") {
    mesh.Nodes.at(3).post({"quarantine", "f1", 1, 600'000}, mesh.Now);
    mesh.run(3s);
    for (size_t n = 0; n < 12; ++n) {
      mesh.add((n + 8) % 12, "dc-" + std::to_string((n + 8) % 3), 2000);
      mesh.run(3s);
    }
  }
  mesh.run(10s);
  const auto notices = mesh.Nodes.at(7).takeNewNotices();
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].Text == "f1");
  CHECK(notices[0].LifetimeMilliseconds < 600'000);
}

TEST_CASE("departures are confirmed by a peer that holds them, and only then") {
  // Guards against an acknowledged leave that no other node knows.
  for (uint64_t loss : {0, 20}) {
    ThreeDataCentres mesh(4, loss);
    mesh.run(10s);
    auto &node = mesh.Nodes.at(7);
    const auto leave = [&](uint64_t epoch) {
      node.setTargets({readyTarget()}, mesh.Now);
      node.setDepartures({{"t", epoch}}, true);
      node.setTargets({}, mesh.Now);
    };
    leave(1);
    CHECK_FALSE(node.areDeparturesConfirmed());
    mesh.run(2s);
    CHECK(node.areDeparturesConfirmed());
    mesh.partition([](size_t n) { return n == 7; });
    leave(2);
    mesh.run(5s);
    CHECK_FALSE(node.areDeparturesConfirmed());
    mesh.Cut.clear();
    mesh.run(10s);
    CHECK(node.areDeparturesConfirmed());
  }
}

TEST_CASE("repeated notices use a bounded part of the datagrams") {
  // Guards against many notices that fill every datagram for minutes.
  NoticeBoard board;
  base::TimePoint now{};
  for (int n = 0; n < 200; ++n)
    board.post({"topic" + std::to_string(n), "text", 1, 600'000}, now);
  while (!board.toSend(420, 1, now).empty() && board.hasUnsent()) {
  }
  for (int n = 0; n < 100; ++n) {
    now += 100ms;
    CHECK(board.toSend(420, 1, now).size() <= NoticeBoard::MaximumRepeats);
  }
  // One that is about to expire would come back at nodes that have dropped it.
  now += 590s;
  CHECK(board.toSend(420, 1, now).empty());
}

TEST_CASE("tables that merged the same updates in any order are equal") {
  std::vector<MemberUpdate> updates;
  for (uint64_t n = 1; n <= 4; ++n) {
    MemberUpdate update{fakeMember(1, "dc", n), n != 3};
    update.Record.State = static_cast<MemberState>(n % 2);
    updates.push_back(update);
  }
  MemberTable forward;
  MemberTable backward;
  for (const auto &it : updates)
    forward.merge(it);
  for (auto it = updates.rbegin(); it != updates.rend(); ++it)
    backward.merge(*it);
  CHECK(forward.hash() == backward.hash());
  CHECK(forward.find("node-1")->Incarnation == 4);
}

TEST_CASE("all nodes learn at once that a target takes no more work") {
  FakeMesh mesh(31);
  for (size_t n = 0; n < 11; ++n)
    mesh.add(n, n < 4 ? "a" : n < 8 ? "b" : "c");
  mesh.run(20s);
  TargetRecord target;
  target.Service = "badges/lookup";
  target.TargetId = "t";
  target.State = TargetState::Ready;
  mesh.Nodes.at(0).setTargets({target}, mesh.Now);
  mesh.run(10s);
  auto seen = [&](TargetState state) {
    size_t count = 0;
    for (const auto &[n, node] : mesh.Nodes) {
      const auto *it = node.table().find("node-0");
      count += it && it->Targets.size() == 1 && it->Targets[0].State == state;
    }
    return count;
  };
  REQUIRE(seen(TargetState::Ready) == 11);
  mesh.LossPercent = 20;
  for (auto state : {TargetState::Draining, TargetState::Left}) {
    target.State = TargetState::Ready;
    mesh.Nodes.at(0).setTargets({target}, mesh.Now);
    mesh.run(10s);
    target.State = state;
    mesh.Nodes.at(0).setTargets({target}, mesh.Now);
    mesh.run(30ms);
    CHECK(seen(state) >= 8);
    mesh.run(370ms);
    CHECK(seen(state) >= 10);
    mesh.run(1s);
    CHECK(seen(state) == 11);
  }
}

TEST_CASE(
    "restarted nodes that know no other node are found by the remaining one") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FakeMesh mesh(seed);
    for (size_t n = 0; n < 11; ++n)
      mesh.add(n, n < 4 ? "a" : n < 8 ? "b" : "c");
    mesh.run(20s);
    // All but one node die; those of its data centre are declared dead.
    for (size_t n = 1; n < 11; ++n)
      mesh.Down.insert(n);
    mesh.run(30s);
    for (size_t n = 1; n < 11; ++n)
      mesh.addAlone(n, n < 4 ? "a" : n < 8 ? "b" : "c", 2000);
    auto time = mesh.runUntil(
        [&] {
          return std::all_of(mesh.Nodes.begin(), mesh.Nodes.end(),
                             [](const auto &it) {
                               return it.second.table().all().size() == 11;
                             });
        },
        30s);
    INFO(seed);
    CHECK(time < 8s);
  }
}

TEST_CASE("nodes that start together from one directory form one fleet") {
  // The directory still lists five nodes that no longer exist.
  std::vector<base::Address> directory;
  for (size_t n = 0; n < 11 + 5; ++n)
    directory.push_back(fakeAddress(n));
  auto isOneFleet = [](const FakeMesh &mesh) {
    return std::all_of(
        mesh.Nodes.begin(), mesh.Nodes.end(),
        [](const auto &it) { return it.second.table().all().size() == 11; });
  };
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    FakeMesh mesh(seed);
    for (size_t n = 0; n < 11; ++n) {
      mesh.addAlone(n, n < 4 ? "a" : n < 8 ? "b" : "c", 1000);
      mesh.Nodes.at(n).addSeeds(directory);
      mesh.run(20ms);
    }
    INFO(seed);
    CHECK(mesh.runUntil([&] { return isOneFleet(mesh); }, 60s) < 4s);
  }
}
