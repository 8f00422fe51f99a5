#include <LibCalls/BrokerFixture.h>
#include <LibCalls/CallPlanner.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;
using rollout::Phase;

namespace {

using Kind = CallStep::Kind;

/// A planner in random states, one of a pair that is driven alike.
struct Driven {
  explicit Driven(uint64_t seed) {
    RetryLimits retries;
    retries.RatioPermille = 200;
    Planner = std::make_unique<CallPlanner>(Locality{"dc1", "south"}, seed,
                                            Kept, retries);
    Planner->boundVersions({300, 50, 5s});
    HedgeSettings hedges;
    hedges.SharePermille = 50;
    Planner->limitHedges(hedges);
  }
  KeepingRecorder Kept;
  std::unique_ptr<CallPlanner> Planner;
};

std::vector<fleet::Member> drawMembers(base::Random &draw, uint64_t round) {
  std::vector<fleet::Member> out;
  for (int n = 0; n < 8; ++n) {
    const auto state =
        draw.below(6) == 0 ? TargetState::Draining : TargetState::Ready;
    out.push_back(
        member("n" + std::to_string(n), n < 4 ? "dc1" : "dc2", state));
    auto &target = out.back().Targets.front();
    target.Epoch = 1 + round / 5;
    target.SoftwareVersion = n % 4 == 3 ? "v2" : "v1";
    target.LoadPermille = static_cast<uint32_t>(draw.below(1000));
    target.Slots = 3 + static_cast<uint32_t>(draw.below(6));
    if (draw.below(8) == 0)
      out.back().State = fleet::MemberState::Suspect;
  }
  return out;
}

AttemptResult drawResult(base::Random &draw) {
  auto out = ends(static_cast<AttemptEnd>(draw.below(5)));
  if (draw.below(3) != 0)
    out.End = AttemptEnd::Answered;
  if (out.End == AttemptEnd::RefusedNotRun)
    out.Code =
        draw.below(2) == 0 ? ResultCode::Overloaded : ResultCode::TargetRefused;
  out.PressurePermille = static_cast<uint32_t>(draw.below(1000));
  out.ExpectedTime = base::Duration(static_cast<int64_t>(draw.below(200'000)));
  if (draw.below(300) == 0) {
    out.Signals = TargetSignals();
    out.Signals->IsLeaving = true;
  }
  return out;
}

RoutedCall drawCall(base::Random &draw) {
  RoutedCall out;
  out.ServiceName = Lookup;
  out.RouteName = "lookup";
  out.CallRank = static_cast<Rank>(draw.below(3));
  out.Allowed = draw.below(40) == 0 ? 1ms : 2s;
  out.Idempotent = draw.below(2) == 0;
  return out;
}

/// Checks that the preview names what then happened.
void checkAgrees(const PlacePreview &told, const CallStep &done) {
  REQUIRE(told.Step.What == done.What);
  CHECK(told.Step.To.Node == done.To.Node);
  CHECK(told.Step.To.Target.TargetId == done.To.Target.TargetId);
  CHECK(told.Step.Code == done.Code);
  CHECK(told.Step.RetryAfter == done.RetryAfter);
  CHECK(told.Step.Stop == done.Stop);
  if (done.What != Kind::Send)
    return;
  CHECK(told.Step.Basis.InFlight == done.Basis.InFlight);
  CHECK(told.Step.Basis.LoadPermille == done.Basis.LoadPermille);
  const auto chosen =
      std::find_if(told.Candidates.begin(), told.Candidates.end(),
                   [&done](const CandidatePreview &it) {
                     return it.Candidate.Node == done.To.Node;
                   });
  REQUIRE(chosen != told.Candidates.end());
  CHECK(chosen->IsUsable);
}

} // namespace

TEST_CASE("a preview agrees with where a call then goes, and changes nothing") {
  uint64_t sent = 0;
  uint64_t refused = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Driven asked(seed);
    Driven control(seed);
    base::Random draw(seed);
    base::Duration now = 1h;
    for (CallHandle n = 1; n <= 600; ++n) {
      now += base::Duration(static_cast<int64_t>(draw.below(60'000)));
      if (n % 40 == 1) {
        const auto members = drawMembers(draw, n / 40);
        for (auto *it : {&asked, &control}) {
          it->Planner->membersChanged(members, at(now));
          it->Planner->nodesChanged(5, at(now));
        }
      }
      if (n == 200)
        for (auto *it : {&asked, &control})
          it->Planner->rolloutOrdered({std::string(Lookup), "v2", 12s, 1},
                                      at(now));
      if (n > 200 && n % 20 == 0)
        for (auto *it : {&asked, &control})
          it->Planner->rolloutLearned(
              std::string(Lookup),
              {n,
               {1, "v2", n < 500 ? Phase::Running : Phase::Completed, 2, 0s}},
              0s, at(now));
      for (auto *it : {&asked, &control})
        it->Planner->tick(at(now));
      const auto call = drawCall(draw);
      const auto told = asked.Planner->preview(call, at(now));
      for (auto count = draw.below(3); count > 0; --count)
        asked.Planner->preview(drawCall(draw), at(now));
      const auto result = drawResult(draw);
      const auto other = draw.below(5);
      for (auto *it : {&asked, &control}) {
        const auto step = it->Planner->begin(n, call, at(now));
        if (it == &asked)
          checkAgrees(told, step);
        if (it == &asked)
          (step.What == Kind::Send ? sent : refused) += 1;
        if (other == 0 || n < 5)
          continue; // Stays in flight.
        it->Planner->attemptEnded(n - other, result, at(now + 5ms));
        it->Planner->end(n - other, at(now + 5ms));
      }
    }
    CHECK(asked.Kept.Entries == control.Kept.Entries);
  }
  CHECK(sent > 5000);
  CHECK(refused > 100);
}

TEST_CASE("a preview names what speaks against targets") {
  BrokerFixture it;
  it.members({member("n1"), member("n4", "dc2"),
              member("n3", "dc1", TargetState::Draining)});
  CallRequest request;
  request.Method = "GET";
  request.Path = "/lookup";
  const auto told = it.Node.preview(request, it.InForce, at(it.Now));
  REQUIRE(told.Matched);
  CHECK(told.Matched->Name == "lookup");
  CHECK(told.Call.ServiceName == Lookup);
  CHECK(told.Step.What == Kind::Send);
  CHECK(told.Step.To.Node == "n1");
  REQUIRE(told.Place.Candidates.size() == 3);
  for (const auto &one : told.Place.Candidates) {
    const auto &why = one.Reasons;
    const auto holds = [&why](Against what) {
      return std::find(why.begin(), why.end(), what) != why.end();
    };
    CHECK(holds(Against::OtherLocality) == (one.Candidate.Node == "n4"));
    CHECK(holds(Against::NotReady) == (one.Candidate.Node == "n3"));
  }
}

TEST_CASE("a preview tells the refusal of a request") {
  BrokerFixture it;
  CallRequest request;
  request.Method = "GET";
  request.Path = "/nowhere";
  const auto preview = [&] {
    return it.Node.preview(request, it.InForce, at(it.Now)).Step;
  };
  CHECK(preview().Code == ResultCode::NoRoute);
  request.Path = "/lookup";
  it.members({});
  CHECK(preview().Code == ResultCode::NoTarget);
  CHECK(it.Node.preview(request, nullptr, at(it.Now)).Step.Code ==
        ResultCode::NotRecovered);
  request.Fingerprint = 7;
  it.Quarantined.applyRemote(7, Lookup, 10min, at(it.Now));
  CHECK(preview().Code == ResultCode::Quarantined);
}
