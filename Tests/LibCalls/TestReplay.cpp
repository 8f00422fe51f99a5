#include <LibAdmission/Players.h>
#include <LibAdmission/TargetGate.h>
#include <LibAdmission/TargetLeases.h>
#include <LibBase/Random.h>
#include <LibCalls/BrokerFixture.h>
#include <LibCalls/CallPlanner.h>
#include <LibCalls/IdempotencyTable.h>
#include <LibCalls/KeyOwnership.h>
#include <LibCalls/Players.h>
#include <LibTrace/RingRecorder.h>

#include <doctest/doctest.h>
#include <map>
#include <utility>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

constexpr uint64_t Steps = 3000;

/// Generates random events for one module from a seed.
struct Driver {
  explicit Driver(uint64_t seed) : Draw(seed) {}
  template <typename Enum> Enum pick(uint64_t count) {
    return static_cast<Enum>(Draw.below(count));
  }
  base::TimePoint now() {
    Now += base::Duration(static_cast<int64_t>(Draw.below(20'000)));
    return at(Now);
  }
  base::Random Draw;
  base::Duration Now = 1min;
};

/// Returns what a target may state; rarely that it is leaving.
TargetSignals signals(Driver &it) {
  TargetSignals out;
  if (it.Draw.below(2) == 0)
    out.RateLimit = static_cast<MilliRate>(it.Draw.below(20'000));
  out.IsLimitMalformed = it.Draw.below(10) == 0;
  out.IsLeaving = it.Draw.below(200) == 0;
  return out;
}

void planCalls(trace::Recorder &recorder, Driver &it) {
  CallPlanner planner({"dc1", "south"}, it.Draw.next(), recorder);
  for (uint64_t n = 1; n <= Steps; ++n) {
    const auto now = it.now();
    planner.tick(now);
    std::vector<fleet::Member> members;
    for (const char *node : {"a", "b", "c", "d"})
      members.push_back(member(node, it.Draw.below(2) == 0 ? "dc1" : "dc2",
                               it.pick<TargetState>(4)));
    for (auto &one : members)
      one.Targets.front().Epoch = n / 100;
    if (n % 50 == 1)
      planner.membersChanged(members, now);
    if (n % 170 == 0)
      planner.drainedChanged({"vm:a"}, now);
    RoutedCall call{std::string(Lookup), it.pick<Rank>(3), 1s, true, false, 10};
    call.Idempotent = it.Draw.below(2) == 0;
    call.Allowed = it.Draw.below(2) == 0 ? 1s : 5s;
    auto step = planner.begin(n, call, now);
    planner.hedge(n - it.Draw.below(3), now);
    while (step.What != CallStep::Kind::Finish && it.Draw.below(10) > 0) {
      auto result = ends(it.pick<AttemptEnd>(6));
      result.Attempt = static_cast<uint32_t>(it.Draw.below(3));
      result.PressurePermille = static_cast<uint32_t>(it.Draw.below(1000));
      if (it.Draw.below(2) == 0)
        result.Signals = signals(it);
      if (it.Draw.below(4) == 0)
        result.Code = ResultCode::TargetRefused;
      result.Refusal = it.pick<RefusalKind>(2);
      result.ExpectedTime =
          base::Duration(static_cast<int64_t>(it.Draw.below(200'000)));
      step = planner.attemptEnded(n, result, it.now());
    }
    if (n > 5)
      planner.end(n - 5, now);
  }
}

void admitCalls(trace::Recorder &recorder, Driver &it) {
  TargetGate gate("t", recorder);
  TargetGateSettings settings;
  settings.Slots = 6;
  settings.Connections = 110;
  settings.Limits.QueueLength = 10;
  for (Ticket n = 1; n <= Steps; ++n) {
    settings.State =
        it.Draw.below(10) == 0 ? TargetState::Draining : TargetState::Ready;
    if (n % 100 == 1)
      gate.configure(settings, it.now());
    if (n % 200 == 1)
      gate.processChanged(it.now());
    if (it.Draw.below(4) == 0)
      gate.reported(static_cast<MilliRate>(it.Draw.below(20'000)), it.now());
    gate.arrive(n, it.pick<Rank>(3), 100ms, 0, it.now());
    gate.signalled(it.Draw.below(n), signals(it), it.now());
    gate.ended(it.Draw.below(n), it.pick<AttemptEnd>(6), it.now(),
               it.pick<RefusalKind>(2));
    gate.abandoned(it.Draw.below(n), it.now());
    gate.tick(it.now());
  }
}

void leaseTargets(trace::Recorder &recorder, Driver &it) {
  TargetLeases leases(recorder);
  std::map<std::string, uint64_t> epochs;
  for (uint64_t n = 0; n < Steps; ++n) {
    it.Now += base::Duration(static_cast<int64_t>(it.Draw.below(2'000'000)));
    auto record = target("t" + std::to_string(it.Draw.below(3)));
    auto &epoch = epochs[record.TargetId];
    record.Epoch = it.Draw.below(9) == 0 ? 0 : epoch;
    base::LastReason reason;
    const auto answer = leases.announce({record}, it.now(), reason);
    epoch = answer ? answer->Epoch : epoch;
    if (n % 20 == 0)
      leases.leaving(record.TargetId, epoch, it.now());
    leases.tick(it.now());
  }
}

void keepKeys(trace::Recorder &recorder, Driver &it) {
  IdempotencyTable table(1s, recorder);
  for (CallHandle n = 1; n <= Steps; ++n) {
    const auto key = "k" + std::to_string(it.Draw.below(20));
    table.begin(key, it.Draw.below(10) == 0 ? 2 : 1, n, it.now());
    table.cancelWait(key, n - it.Draw.below(3), it.now());
    const std::string answer(it.Draw.below(100), 'x');
    if (it.Draw.below(2) == 0)
      table.finished(key, it.pick<CallOutcome>(3), ResultCode::Ok, answer,
                     it.now());
  }
}

void ownKeys(trace::Recorder &recorder, Driver &it) {
  KeyOwnership owners("a", "dc1", 1s, recorder);
  for (uint64_t n = 0; n < Steps; ++n) {
    std::vector<fleet::Member> members;
    for (const char *node : {"a", "b", "c", "d"})
      if (it.Draw.below(10) > 0)
        members.push_back(member(node));
    it.Now += it.Draw.below(50) == 0 ? 5s : 0s;
    owners.tick(it.now());
    if (n % 40 == 0)
      owners.membersChanged(members, it.now());
    owners.verdict("k" + std::to_string(it.Draw.below(20)), it.now());
  }
}

using Drive = void (*)(trace::Recorder &, Driver &);
constexpr Drive Drives[] = {planCalls, admitCalls, leaseTargets, keepKeys,
                            ownKeys};

Heartbeat heartbeat(uint64_t sequence) {
  auto record = target("t1");
  record.Where = {"10.0.0.1", 80};
  return {std::move(record), 1, sequence};
}

trace::Trace record(Drive drive, uint64_t seed) {
  KeepingRecorder recorder;
  Driver driver(seed);
  drive(recorder, driver);
  trace::Trace out;
  out.Entries = std::move(recorder.Entries);
  return out;
}

trace::ReplayReport replay(const trace::Trace &trace) {
  const trace::Replay out([] {
    trace::Replay::Players players;
    calls::addPlayers(players);
    admission::addPlayers(players);
    return players;
  });
  return out.run(trace);
}

} // namespace

TEST_CASE("recorded decisions replay with equal outcomes") {
  for (const auto drive : Drives) {
    for (const uint64_t seed : {1, 2, 3, 4, 5}) {
      const auto trace = record(drive, seed);
      REQUIRE(trace.Entries.size() > Steps);
      const auto report = replay(trace);
      CHECK(report.Played == trace.Entries.size());
      if (report.FirstDifference)
        FAIL(describeDifference(*report.FirstDifference));
    }
  }
}

TEST_CASE("leases replay with the lifetimes that the node granted") {
  KeepingRecorder recorder;
  TargetLeases leases(recorder, 8s);
  base::LastReason reason;
  CHECK(leases.heartbeat(heartbeat(1), at(0s), reason));
  CHECK(leases.announce({target("t2")}, at(0s), reason));
  leases.tick(at(1s));
  // Both leases are still valid after the default lifetime.
  CHECK_FALSE(leases.tick(at(4s)));
  CHECK(leases.current().size() == 2);
  leases.setLifetime(1s);
  CHECK(leases.heartbeat(heartbeat(2), at(5s), reason));
  leases.tick(at(5s));
  CHECK(leases.tick(at(7s)));
  trace::Trace trace;
  trace.Entries = recorder.Entries;
  const auto report = replay(trace);
  if (report.FirstDifference)
    FAIL_CHECK(describeDifference(*report.FirstDifference));
}

TEST_CASE("a trace without the lifetime of leases replays with the default") {
  KeepingRecorder recorder;
  TargetLeases leases(recorder);
  base::LastReason reason;
  CHECK(leases.heartbeat(heartbeat(1), at(0s), reason));
  leases.tick(at(1s));
  CHECK(leases.tick(at(4s)));
  trace::Trace trace;
  trace.Entries = recorder.Entries;
  trace.Entries[0].Numbers[4] = 0;
  CHECK_FALSE(replay(trace).FirstDifference);
}

TEST_CASE("a replay with missing events differs") {
  for (const auto drive : Drives) {
    auto trace = record(drive, 1);
    const auto first = trace.Entries.begin() + 1;
    trace.Entries.erase(first, first + Steps / 10);
    const auto report = replay(trace);
    REQUIRE(report.FirstDifference);
    CHECK_FALSE(report.FirstDifference->EventName.empty());
  }
}

TEST_CASE("a node's recording of calls and keys replays completely") {
  trace::RingRecorder ring({});
  BrokerFixture it(&ring);
  it.Node.assumeNoEarlierCalls(at(it.Now));
  for (int n = 0; n < 100; ++n) {
    it.run("/lookup", static_cast<AttemptEnd>(n % 6));
    const auto call = it.pay("key" + std::to_string(n % 20));
    it.end(call, static_cast<AttemptEnd>(n % 5));
    it.Node.end(call, at(it.Now));
    it.pass(500ms);
  }
  const auto trace =
      ring.recording("n0", 1, at(it.Now).time_since_epoch().count());
  const auto report = replay(trace);
  CHECK(trace.LeftOut.empty());
  CHECK(report.Played == ring.size());
  if (report.FirstDifference)
    FAIL(describeDifference(*report.FirstDifference));
}
