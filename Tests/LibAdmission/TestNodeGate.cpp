#include <LibAdmission/NodeGate.h>
#include <LibAdmission/TargetGate.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>
#include <utility>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

using Kind = GateAnswer::Kind;

struct GateFixture {
  explicit GateFixture(uint32_t slots = 2) {
    Node.targetsChanged({target("t", slots)}, at(0s));
  }
  GateAnswer arrive(Rank rank, base::Duration passed = 0s,
                    base::Duration remaining = 1s, uint64_t fingerprint = 0) {
    Arrival it;
    it.ServiceName = Lookup;
    it.TargetId = "t";
    it.CallRank = rank;
    it.Remaining = remaining;
    it.Fingerprint = fingerprint;
    return Node.arrive(it, at(passed));
  }
  std::vector<GateAnswer> end(Ticket call, base::Duration passed,
                              AttemptEnd how = AttemptEnd::Answered) {
    return Node.ended(call, ends(how), at(passed));
  }

  /// Replaces the target's process.
  void restart(base::Duration passed) {
    auto record = target("t", 2);
    record.Epoch = ++Epoch;
    Node.targetsChanged({record}, at(passed));
  }

  uint64_t Epoch = 0;
  trace::NullRecorder Recorder;
  Quarantine Quarantined{Recorder};
  NodeGate Node{Quarantined, Recorder};
};

} // namespace

TEST_CASE(
    "calls fill the slots, then queue, and the most urgent one runs next") {
  GateFixture it;
  const auto first = it.arrive(Rank::Background);
  CHECK(first.What == Kind::Run);
  CHECK(it.arrive(Rank::Background).What == Kind::Run);
  const auto background = it.arrive(Rank::Background);
  const auto critical = it.arrive(Rank::Critical);
  CHECK(background.What == Kind::Queued);
  CHECK(critical.What == Kind::Queued);
  CHECK(it.Node.inFlight() == 4);
  CHECK(it.Node.pressurePermille("t") > 800);
  const auto next = it.end(first.Call, 10ms);
  REQUIRE(next.size() == 1);
  CHECK(next[0].What == Kind::Run);
  CHECK(next[0].Call == critical.Call);
  it.Node.abandoned(background.Call, at(20ms));
  CHECK(it.end(critical.Call, 20ms).empty());
  CHECK(it.Node.inFlight() == 1);
}

TEST_CASE("calls that cannot run are refused at once with a result code") {
  GateFixture it;
  it.Quarantined.applyRemote(66, Lookup, 1min, at(0s));
  CHECK(it.arrive(Rank::Critical, 0s, 1s, 66).Code == ResultCode::Quarantined);
  CHECK(it.arrive(Rank::Critical, 0s, 0s).Code == ResultCode::DeadlineExceeded);
  const std::pair<TargetState, ResultCode> states[] = {
      {TargetState::Starting, ResultCode::NoTarget},
      {TargetState::Draining, ResultCode::Draining},
      {TargetState::Left, ResultCode::Draining}};
  for (const auto &[state, code] : states) {
    it.Node.targetsChanged({target("t", 2, state)}, at(0s));
    const auto answer = it.arrive(Rank::Critical);
    CHECK(answer.What == Kind::Refuse);
    CHECK(answer.Code == code);
    CHECK(answer.RetryAfter >= 1s);
  }
  it.Node.targetsChanged({}, at(0s));
  it.Node.tick(at(0s));
  CHECK(it.arrive(Rank::Critical).Code == ResultCode::NoTarget);
}

TEST_CASE("a leaving target finishes running calls and refuses queued ones") {
  GateFixture it(1);
  const auto running = it.arrive(Rank::Critical);
  const auto waiting = it.arrive(Rank::Critical);
  SUBCASE("drained") {
    it.Node.targetsChanged({target("t", 1, TargetState::Draining)}, at(1ms));
  }
  SUBCASE("lapsed") { it.Node.targetsChanged({}, at(1ms)); }
  const auto refused = it.Node.tick(at(2ms));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Call == waiting.Call);
  CHECK(refused[0].Code == ResultCode::Draining);
  CHECK(it.Node.inFlight() == 1);
  CHECK(it.end(running.Call, 5ms).empty());
  CHECK(it.Node.inFlight() == 0);
}

TEST_CASE("a queued call is refused before its deadline is lost") {
  GateFixture it(1);
  it.arrive(Rank::Critical);
  const auto waiting = it.arrive(Rank::Critical, 0s, 100ms);
  CHECK(it.Node.tick(at(50ms)).empty());
  const auto refused = it.Node.tick(at(95ms));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Call == waiting.Call);
  CHECK(refused[0].Code == ResultCode::DeadlineExceeded);
}

TEST_CASE("a request in flight in two crashes is quarantined") {
  GateFixture it;
  for (const auto passed : {0s, 5s}) {
    const auto poison = it.arrive(Rank::Standard, passed, 1s, 66);
    const auto other = it.arrive(Rank::Standard, passed, 1s,
                                 static_cast<uint64_t>(passed.count() + 1));
    it.end(poison.Call, passed + 1s, AttemptEnd::Broken);
    it.end(other.Call, passed + 1s, AttemptEnd::Broken);
    const auto next = it.arrive(Rank::Standard, passed + 2s);
    it.end(next.Call, passed + 2s, AttemptEnd::NotSent);
    it.restart(passed + 4s);
  }
  CHECK(it.arrive(Rank::Standard, 10s, 1s, 66).Code == ResultCode::Quarantined);
  CHECK(it.arrive(Rank::Standard, 10s, 1s, 1).What == Kind::Run);
}

TEST_CASE("a quarantine at one service lets the request pass at another") {
  // Guards against refusing a path everywhere since it crashes one service.
  GateFixture it;
  it.Quarantined.applyRemote(66, "badges/other", 1min, at(0s));
  CHECK(it.arrive(Rank::Critical, 0s, 1s, 66).What == Kind::Run);
}

TEST_CASE("only refusals by a full target narrow its gate") {
  trace::NullRecorder recorder;
  TargetGate gate("t", recorder);
  TargetGateSettings settings;
  settings.State = TargetState::Ready;
  settings.Slots = 6;
  settings.Connections = 120;
  gate.configure(settings, at(0s));
  Ticket ticket = 0;
  const auto refuse = [&](const std::optional<TargetLoad> &load) {
    REQUIRE(gate.arrive(++ticket, Rank::Standard, 1s, 0, at(1s)).What ==
            Kind::Run);
    const auto kind = gate.judgeRefusal(load, at(1s));
    gate.ended(ticket, AttemptEnd::RefusedNotRun, at(1s), kind);
    return kind;
  };
  for (int n = 0; n < 4; ++n)
    CHECK(refuse(TargetLoad{0, 0, 6, {}}) == RefusalKind::Spurious);
  CHECK(gate.limit() == 6);
  CHECK(refuse(TargetLoad{6, 2, 6, {}}) == RefusalKind::Full);
  CHECK(gate.limit() == 5);
  CHECK(refuse(std::nullopt) == RefusalKind::Full);
  CHECK(gate.limit() == 4);
}

TEST_CASE(
    "no more calls run at once than a service's connections to a target") {
  struct Row {
    uint32_t Maximum;
    uint32_t Runs;
  };
  // The target has 6 slots.
  for (const auto &row : {Row{0, 6}, Row{120, 6}, Row{2, 2}}) {
    GateFixture it(6);
    config::VersionContent content;
    content.Services = {{"lookup", {}}};
    content.Services.front().MaximumConnections = row.Maximum;
    base::LastReason reason;
    auto built = config::Snapshot::create(
        {{"badges", 1,
          std::make_shared<const config::VersionContent>(content)}},
        1, reason);
    REQUIRE(built);
    it.Node.limitsChanged(*built);
    uint32_t runs = 0;
    for (int n = 0; n < 10; ++n)
      runs += it.arrive(Rank::Critical).What == Kind::Run ? 1 : 0;
    CHECK(runs == row.Runs);
  }
}
