#include <LibAdmission/LeasePlayer.h>
#include <LibAdmission/TargetLeases.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

struct LeaseFixture {
  trace::NullRecorder Recorder;
  TargetLeases Leases{Recorder};
  base::LastReason Reason;

  /// Returns the granted epoch, or 0.
  uint64_t announce(uint64_t epoch, base::Duration passed,
                    const std::string &id = "t") {
    auto record = target(id);
    record.Epoch = epoch;
    const auto out = Leases.announce({record}, at(passed), Reason);
    return out ? out->Epoch : 0;
  }

  bool heartbeat(uint64_t incarnation, uint64_t sequence, base::Duration passed,
                 TargetState state = TargetState::Ready,
                 const std::string &id = "t", uint16_t port = 80) {
    Heartbeat it;
    it.Target = target(id);
    it.Target.State = state;
    it.Target.Where = {"10.0.0.1", port};
    it.Incarnation = incarnation;
    it.Sequence = sequence;
    return Leases.heartbeat(it, at(passed), Reason);
  }

  /// Unix time starts at 0 with the test.
  bool leave(base::Duration passed) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(passed);
    return Leases.leave("t", at(passed), static_cast<uint64_t>(ms.count()));
  }

  /// Returns the state of the only target for other nodes and for the gate.
  std::pair<TargetState, TargetState> states(base::Duration passed) const {
    const auto told = Leases.current();
    const auto gate = Leases.targetsForGate(at(passed));
    REQUIRE(told.size() == 1);
    REQUIRE(gate.size() == 1);
    return {told[0].State, gate[0].State};
  }
};

using States = std::pair<TargetState, TargetState>;

} // namespace

TEST_CASE("a lease is renewed by heartbeats and lapses without them") {
  LeaseFixture it;
  const auto epoch = it.announce(0, 0s);
  REQUIRE(epoch > 0);
  CHECK(it.announce(epoch, 2s) == epoch);
  CHECK_FALSE(it.Leases.tick(at(4999ms)));
  CHECK(it.Leases.current().size() == 1);
  CHECK(it.Leases.tick(at(5s)));
  CHECK_FALSE(it.Leases.tick(at(5s)));
  CHECK(it.Leases.current().empty());
}

TEST_CASE("a target that was paused past its lease is refused") {
  LeaseFixture it;
  const auto epoch = it.announce(0, 1s);
  // No tick has run since: announce() itself must detect the lapse.
  CHECK(it.announce(epoch, 4s) == 0);
  CHECK(it.Reason.code() == ResultCode::LeaseLapsed);
  CHECK(it.Leases.current().empty());
  CHECK(it.Leases.tick(at(4s)));
  const auto next = it.announce(0, 5s);
  CHECK(next > epoch);
  CHECK(it.announce(epoch, 5s) == 0);
  CHECK(it.announce(next, 6s) == next);
  // A restarted node doesn't know the epoch and grants a higher one.
  LeaseFixture restarted;
  CHECK(restarted.announce(next, 7s) == 0);
  CHECK(restarted.announce(0, 7s) > next);
}

TEST_CASE("an operator's drain persists across heartbeats and a lapsed lease") {
  LeaseFixture it;
  const auto epoch = it.announce(0, 1s);
  it.announce(0, 1s, "u");
  it.Leases.drain("t");
  CHECK(it.announce(epoch, 2s) == epoch);
  CHECK(it.Leases.current()[0].State == TargetState::Draining);
  CHECK(it.Leases.current()[1].State == TargetState::Ready);
  it.Leases.tick(at(9s));
  it.announce(0, 9s);
  CHECK(it.Leases.current()[0].State == TargetState::Draining);
  it.Leases.drainAll();
  it.announce(0, 9s, "v");
  for (const auto &record : it.Leases.current())
    CHECK(record.State == TargetState::Draining);
}

TEST_CASE("the number of targets is bounded and lapsed ones are replaced") {
  LeaseFixture it;
  for (size_t n = 0; n < TargetLeases::MaximumTargets; ++n)
    CHECK(it.announce(0, 1s, "t" + std::to_string(n)) > 0);
  CHECK(it.announce(0, 2s, "more") == 0);
  CHECK(it.Reason.code() == ResultCode::PeerBusy);
  CHECK(it.announce(0, 4s, "more") > 0);
}

TEST_CASE(
    "a leave is reported at once while the gate accepts calls in transit") {
  for (const bool isAnnounced : {true, false}) {
    LeaseFixture it;
    CHECK(it.heartbeat(7, 1, 1s));
    if (isAnnounced)
      CHECK(it.heartbeat(7, 2, 2s, TargetState::Draining));
    else
      CHECK(it.leave(2s));
    const auto reported =
        isAnnounced ? TargetState::Draining : TargetState::Left;
    CHECK(it.Leases.tick(at(2s)));
    CHECK(it.states(2s) == States{reported, TargetState::Ready});
    CHECK_FALSE(it.Leases.tick(at(2399ms)));
    CHECK(it.states(2399ms) == States{reported, TargetState::Ready});
    // The gate closes well before a second has passed, and tick() reports it.
    CHECK(it.Leases.tick(at(2400ms)));
    CHECK(it.states(2400ms) == States{reported, reported});
    // A repeated leave does not start another grace period.
    CHECK(it.leave(3s));
    CHECK(it.states(3s) == States{TargetState::Left, TargetState::Left});
  }
}

TEST_CASE("the gate of a drained node accepts calls for its target") {
  LeaseFixture it;
  CHECK(it.heartbeat(7, 1, 1s));
  it.Leases.drainAll();
  CHECK(it.states(2s) == States{TargetState::Draining, TargetState::Ready});
  CHECK(it.heartbeat(7, 2, 2s, TargetState::Draining));
  CHECK(it.states(3s) == States{TargetState::Draining, TargetState::Draining});
}

TEST_CASE(
    "a late heartbeat doesn't undo the leave of a target unknown to the node") {
  LeaseFixture it;
  CHECK_FALSE(it.leave(2s));
  CHECK(it.Leases.current().empty());
  CHECK(it.heartbeat(1500, 7, 2100ms));
  CHECK(it.states(2100ms) == States{TargetState::Left, TargetState::Left});
  CHECK(it.heartbeat(1500, 8, 3s));
  CHECK(it.states(3s) == States{TargetState::Left, TargetState::Left});
  CHECK(it.heartbeat(2500, 1, 4s));
  CHECK(it.states(4s) == States{TargetState::Ready, TargetState::Ready});
}

TEST_CASE("late and reordered heartbeats are handled") {
  LeaseFixture it;
  CHECK(it.heartbeat(7, 3, 1s, TargetState::Draining));
  // An earlier heartbeat of the same process changes nothing.
  CHECK(it.heartbeat(7, 2, 2s));
  CHECK(it.states(2s).first == TargetState::Draining);
  // It doesn't renew the lease either.
  it.Leases.tick(at(4s));
  CHECK(it.Leases.current().empty());
  // A target that left needs a new process to come back.
  CHECK(it.leave(4s));
  CHECK(it.heartbeat(7, 9, 5s));
  CHECK(it.Leases.current()[0].State == TargetState::Left);
}

TEST_CASE("a restarted target with the same id is ready again") {
  LeaseFixture it;
  CHECK(it.heartbeat(7, 90, 1s, TargetState::Draining));
  CHECK(it.heartbeat(8, 1, 2s));
  CHECK(it.states(2s) == States{TargetState::Ready, TargetState::Ready});
  CHECK_FALSE(it.heartbeat(7, 91, 2s, TargetState::Draining));
  CHECK(it.Reason.code() == ResultCode::LeaseLapsed);
  CHECK(it.states(2s).first == TargetState::Ready);
}

TEST_CASE("a heartbeat from the previous holder of an address is refused") {
  LeaseFixture it;
  CHECK(it.heartbeat(7, 5, 1s, TargetState::Ready, "old"));
  CHECK(it.heartbeat(8, 1, 2s, TargetState::Ready, "new"));
  REQUIRE(it.Leases.current().size() == 1);
  CHECK(it.Leases.current()[0].TargetId == "new");
  CHECK_FALSE(it.heartbeat(7, 6, 2s, TargetState::Ready, "old"));
  CHECK(it.Leases.current()[0].TargetId == "new");
  CHECK(it.heartbeat(6, 1, 2s, TargetState::Ready, "other", 81));
}

TEST_CASE("a leaving target is ready again with its next heartbeat") {
  LeaseFixture it;
  REQUIRE(it.heartbeat(7, 1, 0s));
  CHECK_FALSE(it.Leases.leaving("t", 6, at(1s)));
  CHECK_FALSE(it.Leases.leaving("other", 7, at(1s)));
  CHECK(it.Leases.leaving("t", 7, at(1s)));
  CHECK(it.Leases.tick(at(1s)));
  CHECK(it.states(1s) == States{TargetState::Draining, TargetState::Ready});
  REQUIRE(it.heartbeat(7, 2, 2s));
  CHECK(it.states(2s) == States{TargetState::Draining, TargetState::Draining});
  CHECK_FALSE(it.Leases.leaving("t", 7, at(2s)));
  REQUIRE(it.heartbeat(8, 1, 3s));
  CHECK(it.states(3s) == States{TargetState::Ready, TargetState::Ready});
}

TEST_CASE("a leaving target is ready again with its next announcement") {
  LeaseFixture it;
  const auto epoch = it.announce(0, 0s);
  CHECK(it.Leases.leaving("t", epoch, at(1s)));
  REQUIRE(it.announce(epoch, 2s) == epoch);
  CHECK(it.states(2s) == States{TargetState::Draining, TargetState::Draining});
  REQUIRE(it.announce(0, 3s) > epoch);
  CHECK(it.states(3s) == States{TargetState::Ready, TargetState::Ready});
}

TEST_CASE("a restored departure binds its process and no later one") {
  LeaseFixture it;
  it.Leases.awaitRestore(1500);
  REQUIRE(it.heartbeat(1000, 4, 1s));
  CHECK(it.states(1s) == States{TargetState::Starting, TargetState::Starting});
  CHECK(it.Leases.restore({{"t", 1000}, {"gone", 900}}, at(1s)) == 2);
  CHECK(it.Leases.restore({{"t", 1000}}, at(1s)) == 0);
  it.Leases.restoreEnded(DepartureKnowledge::Complete);
  CHECK(it.states(2s) == States{TargetState::Draining, TargetState::Draining});
  REQUIRE(it.heartbeat(1000, 5, 2s));
  CHECK(it.states(2s).first == TargetState::Draining);
  CHECK(it.Leases.departures() ==
        fleet::Departures{{"gone", 900}, {"t", 1000}});
  REQUIRE(it.heartbeat(1001, 1, 3s));
  CHECK(it.states(3s) == States{TargetState::Ready, TargetState::Ready});
}

TEST_CASE("without all departures a target must prove that it is alive") {
  // Guards against late heartbeats of before a leave that nobody remembers.
  LeaseFixture it;
  constexpr uint64_t Started = 100'000;
  it.Leases.awaitRestore(Started);
  REQUIRE(it.heartbeat(1000, 4, 0s));
  it.Leases.restoreEnded(DepartureKnowledge::Partial);
  auto state = [&](base::Duration now) { return it.states(now).first; };
  SUBCASE("several late heartbeats at once are no proof") {
    for (uint64_t n = 5; n < 20; ++n)
      REQUIRE(it.heartbeat(1000, n, 100ms));
    CHECK(state(100ms) == TargetState::Starting);
  }
  SUBCASE("nor are repeated ones, or two") {
    REQUIRE(it.heartbeat(1000, 4, 1s));
    REQUIRE(it.heartbeat(1000, 4, 2s));
    REQUIRE(it.heartbeat(1000, 5, 2900ms));
    CHECK(state(2900ms) == TargetState::Starting);
  }
  SUBCASE("heartbeats in order over some time are") {
    REQUIRE(it.heartbeat(1000, 5, 1500ms));
    CHECK(state(1500ms) == TargetState::Starting);
    REQUIRE(it.heartbeat(1000, 6, 2500ms));
    CHECK(state(2500ms) == TargetState::Ready);
  }
  SUBCASE("a target that states that it is leaving stays so") {
    REQUIRE(it.heartbeat(1000, 5, 1500ms, TargetState::Draining));
    REQUIRE(it.heartbeat(1000, 6, 3s, TargetState::Ready));
    CHECK(state(3s) == TargetState::Draining);
  }
  SUBCASE("a process that started after the node is ready at once") {
    REQUIRE(it.heartbeat(Started + 1, 1, 1s));
    CHECK(state(1s) == TargetState::Ready);
  }
}

TEST_CASE("where only the store knows departures, a target's word is enough") {
  LeaseFixture it;
  it.Leases.awaitRestore(100'000);
  REQUIRE(it.heartbeat(1000, 4, 0s));
  CHECK(it.Leases.inDoubt().empty());
  it.Leases.restoreEnded(DepartureKnowledge::StoreOnly);
  REQUIRE(it.Leases.inDoubt().size() == 1);
  CHECK_FALSE(it.Leases.proveAlive("t", 999));
  CHECK(it.states(1s).first == TargetState::Starting);
  CHECK(it.Leases.proveAlive("t", 1000));
  CHECK(it.states(1s) == States{TargetState::Ready, TargetState::Ready});
  CHECK_FALSE(it.Leases.proveAlive("t", 1000));
  CHECK(it.Leases.inDoubt().empty());
}

TEST_CASE("departures are those that targets have stated, bounded in number") {
  LeaseFixture it;
  REQUIRE(it.heartbeat(7, 1, 0s));
  it.Leases.drainAll();
  CHECK(it.Leases.departures().empty());
  REQUIRE(it.Leases.leaving("t", 7, at(0s)));
  CHECK(it.Leases.departures() == fleet::Departures{{"t", 7}});
  for (uint64_t n = 1; n <= 2 * TargetLeases::MaximumDepartures; ++n)
    it.heartbeat(100 + n, 1, 0s, TargetState::Draining, std::to_string(n),
                 static_cast<uint16_t>(100 + n));
  const auto latest = it.Leases.departures();
  CHECK(latest.size() == TargetLeases::MaximumDepartures);
  CHECK(latest.contains(std::to_string(2 * TargetLeases::MaximumDepartures)));
  CHECK_FALSE(latest.contains("t"));
}

TEST_CASE("a recorded restore replays with equal outcomes") {
  KeepingRecorder recorder;
  TargetLeases leases{recorder};
  leases.restore({{"t", 1000}}, at(0s));
  leases.restore({{"t", 900}}, at(0s));
  LeasePlayer player;
  for (const auto &entry : recorder.Entries)
    CHECK(player.play(entry) == entry.Decided);
  CHECK(recorder.Entries.size() == 2);
}
