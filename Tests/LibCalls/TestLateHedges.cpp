#include <LibCalls/BrokerFixture.h>
#include <LibCalls/CallPlanPlayer.h>
#include <LibCalls/CallPlanner.h>

#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;
using rollout::Phase;

namespace {

using Kind = CallStep::Kind;

constexpr int WarmCalls = 200;
constexpr uint32_t LowLoad = 100;

HedgeSettings share(int64_t permille) {
  HedgeSettings out;
  out.SharePermille = permille;
  return out;
}

RetryLimits budget() {
  RetryLimits out;
  out.RatioPermille = 200;
  return out;
}

/// A planner that has seen answers of four targets: one in 25 after 800 ms, the
/// others after 10 to 109 ms.
struct LateFixture {
  LateFixture() : LateFixture(share(100)) {}
  explicit LateFixture(const HedgeSettings &settings) {
    Planner.limitHedges(settings);
    Planner.nodesChanged(1, at(Now));
    list({"v1", "v1", "v1", "v1"});
    Now += LoadBalancer::SlowStart;
    warm();
  }

  void list(const std::vector<std::string> &versions) {
    std::vector<fleet::Member> members;
    for (size_t n = 0; n < versions.size(); ++n) {
      members.push_back(member("n" + std::to_string(n)));
      members.back().Targets.front().SoftwareVersion = versions[n];
      members.back().Targets.front().Epoch = 1;
    }
    Planner.membersChanged(members, at(Now));
  }
  void warm(uint32_t load = LowLoad) {
    for (int n = 0; n < WarmCalls; ++n) {
      const auto step = begin();
      if (step.What != Kind::Send)
        continue;
      Now += n % 25 == 0 ? 800ms : 10ms + (n * 37 % 100) * 1ms;
      answer(Handle, step, load);
      Planner.end(Handle, at(Now));
    }
  }
  static RoutedCall lookup() {
    RoutedCall out;
    out.ServiceName = Lookup;
    out.RouteName = "lookup";
    out.CallRank = Rank::Standard;
    out.Allowed = 5s;
    out.Idempotent = true;
    return out;
  }
  CallStep begin(const RoutedCall &call = lookup()) {
    return Planner.begin(++Handle, call, at(Now));
  }
  std::optional<CallStep> hedge(CallHandle call) {
    return Planner.hedge(call, at(Now));
  }
  CallStep answer(CallHandle call, const CallStep &attempt,
                  uint32_t load = LowLoad) {
    auto result = ends(AttemptEnd::Answered);
    result.PressurePermille = load;
    return end(call, attempt, result);
  }
  CallStep end(CallHandle call, const CallStep &attempt, AttemptResult result) {
    result.Attempt = attempt.Attempt;
    return Planner.attemptEnded(call, result, at(Now));
  }
  /// Begins a call and lets it become late.
  CallStep beginLate(const RoutedCall &call = lookup()) {
    auto out = begin(call);
    REQUIRE(out.What == Kind::Send);
    Now += out.HedgeAfter;
    return out;
  }
  HedgeCounts counts() { return Planner.hedgeCounts()[std::string(Lookup)]; }
  uint64_t notStarted(HedgeRefusal why) {
    return counts().NotStarted[static_cast<size_t>(why)];
  }

  KeepingRecorder Kept;
  CallPlanner Planner{{"dc1", "south"}, 7, Kept, budget()};
  base::Duration Now = 1h;
  CallHandle Handle = 0;
};

} // namespace

TEST_CASE_FIXTURE(LateFixture, "a late call has one hedge, elsewhere") {
  const auto first = beginLate();
  CHECK(first.HedgeAfter > 95ms);
  CHECK(first.HedgeAfter < 120ms);
  CHECK(first.Hedge == HedgeCause::None);
  const auto second = hedge(Handle);
  REQUIRE(second);
  CHECK(second->Hedge == HedgeCause::Late);
  CHECK(second->Retry); // So nothing is hedged or retried below it.
  CHECK(second->To.Node != first.To.Node);
  CHECK(second->HedgeAfter == 0s);
  Now += first.HedgeAfter;
  CHECK_FALSE(hedge(Handle));
  CHECK(answer(Handle, *second).What == Kind::Finish);
  CHECK(counts().Started == 1);
  CHECK(counts().Won == 1);
  Planner.end(Handle, at(Now));
  CHECK(counts().Abandoned == 0);
}

TEST_CASE_FIXTURE(LateFixture, "a hedge may lose, or end without an answer") {
  const auto first = beginLate();
  REQUIRE(hedge(Handle));
  checkAnswered(answer(Handle, first));
  Planner.end(Handle, at(Now));
  beginLate();
  REQUIRE(hedge(Handle));
  Planner.end(Handle, at(Now));
  CHECK(counts().Started == 2);
  CHECK(counts().Lost == 1);
  CHECK(counts().Abandoned == 1);
  CHECK(counts().Won == 0);
}

TEST_CASE("without a share calls are planned as if there were no hedges") {
  KeepingRecorder plain;
  KeepingRecorder limited;
  for (auto *recorder : {&plain, &limited}) {
    CallPlanner planner({"dc1", "south"}, 7, *recorder, budget());
    if (recorder == &limited)
      planner.limitHedges(share(0));
    planner.membersChanged({member("a"), member("b")}, at(1h));
    for (CallHandle n = 1; n <= WarmCalls; ++n) {
      const auto now = 1h + static_cast<int64_t>(n) * 100ms;
      const auto step = planner.begin(n, LateFixture::lookup(), at(now));
      CHECK(step.HedgeAfter >= HedgeDelay::MinimumDelay);
      planner.attemptEnded(n, ends(AttemptEnd::Answered), at(now + 50ms));
      planner.end(n, at(now + 50ms));
    }
  }
  limited.Entries.erase(limited.Entries.begin() + 1);
  REQUIRE(limited.Entries.size() == plain.Entries.size());
  for (size_t n = 0; n < plain.Entries.size(); ++n)
    CHECK(limited.Entries[n].Decided == plain.Entries[n].Decided);
}

TEST_CASE("a service may have a share of its own") {
  HedgeSettings settings = share(100);
  settings.ServiceSharePermille[std::string(Lookup)] = 0;
  LateFixture it(settings);
  CHECK(it.begin().HedgeAfter >= HedgeDelay::MinimumDelay);
}

TEST_CASE_FIXTURE(LateFixture,
                  "calls that are not to be repeated, nested calls "
                  "and retries are not hedged when late") {
  auto unsafe = lookup();
  unsafe.Idempotent = false;
  CHECK(begin(unsafe).HedgeAfter == 0s);
  auto retry = lookup();
  retry.WithinRetry = true;
  CHECK(begin(retry).HedgeAfter == 0s);
  auto nested = lookup();
  nested.IsNested = true;
  CHECK(begin(nested).HedgeAfter >= HedgeDelay::MinimumDelay);
  auto learnt = lookup();
  learnt.LatencyObjective = 100ms;
  const auto first = begin(learnt);
  auto result = ends(AttemptEnd::Answered);
  result.IsNested = true;
  end(Handle, first, result);
  CHECK(begin(learnt).HedgeAfter >= HedgeDelay::MinimumDelay);
  CHECK(notStarted(HedgeRefusal::Nested) == 2);
}

TEST_CASE_FIXTURE(LateFixture,
                  "an attempt that a hedge has outrun says nothing "
                  "bad of its target") {
  for (uint32_t n = 0; n < 2 * TargetHealth::FailureLimit; ++n) {
    beginLate();
    const auto second = hedge(Handle);
    REQUIRE(second);
    Now += 20ms;
    checkAnswered(answer(Handle, *second));
    Planner.end(Handle, at(Now));
    warm(); // So that late calls remain few.
  }
  const auto next = begin();
  CHECK(next.Basis.LeftOut == 0);
  CHECK_FALSE(next.FreshConnection);
  CHECK(next.HedgeAfter < 150ms); // Nor is the route taken to be slower.
}

TEST_CASE_FIXTURE(LateFixture,
                  "a refused hedge leaves the call to its first attempt") {
  const auto first = beginLate();
  const auto second = hedge(Handle);
  REQUIRE(second);
  CHECK(end(Handle, *second,
            ends(AttemptEnd::RefusedNotRun, ResultCode::Overloaded))
            .What == Kind::Await);
  checkAnswered(answer(Handle, first));
}

TEST_CASE_FIXTURE(LateFixture, "no hedge starts while calls are refused") {
  for (int64_t n = 0; n < HedgePolicy::MinimumRefused; ++n) {
    const auto first = begin();
    end(Handle, first, ends(AttemptEnd::RefusedNotRun, ResultCode::Overloaded));
    Planner.end(Handle, at(Now));
  }
  beginLate();
  CHECK_FALSE(hedge(Handle));
  CHECK(notStarted(HedgeRefusal::Refusals) == 1);
  Planner.end(Handle, at(Now));
  warm();
  beginLate();
  CHECK(hedge(Handle));
}

TEST_CASE_FIXTURE(LateFixture,
                  "a call whose first attempt is refused while its "
                  "hedge runs is left to the hedge") {
  const auto first = beginLate();
  const auto second = hedge(Handle);
  REQUIRE(second);
  CHECK(end(Handle, first,
            ends(AttemptEnd::RefusedNotRun, ResultCode::Overloaded))
            .What == Kind::Await);
  checkAnswered(answer(Handle, *second));
}

TEST_CASE_FIXTURE(LateFixture, "no hedge goes to a target without room") {
  warm(400);
  beginLate();
  CHECK(hedge(Handle));
  Planner.end(Handle, at(Now));
  warm(700);
  beginLate();
  CHECK_FALSE(hedge(Handle));
  CHECK(notStarted(HedgeRefusal::Load) == 1);
}

TEST_CASE("hedges stop when their share is spent") {
  LateFixture it(share(20));
  // The calls of the last 10 s have earned 2.
  std::vector<CallHandle> late;
  for (int n = 0; n < 6; ++n) {
    it.begin();
    late.push_back(it.Handle);
  }
  it.Now += 120ms;
  uint64_t started = 0;
  for (const auto call : late)
    started += it.hedge(call) ? 1 : 0;
  CHECK(started == 2);
  CHECK(it.notStarted(HedgeRefusal::Limit) +
            it.notStarted(HedgeRefusal::AllSlow) ==
        4);
}

TEST_CASE("a hedge leaves half of the retry budget to retries") {
  LateFixture it;
  uint64_t started = 0;
  std::vector<CallHandle> late;
  for (int n = 0; n < 6; ++n) {
    it.begin();
    late.push_back(it.Handle);
  }
  it.Now += 120ms;
  const auto before = it.Planner.retriesLeft(at(it.Now)).front().second;
  for (const auto call : late)
    started += it.hedge(call) ? 1 : 0;
  CHECK(started > 0);
  CHECK(it.Planner.retriesLeft(at(it.Now)).front().second ==
        before - static_cast<int64_t>(started));
}

TEST_CASE("a call at a new version has no hedge, nor does one go there") {
  LateFixture it;
  it.Planner.boundVersions({500, 50, 5s});
  it.list({"v1", "v1", "v1", "v2"});
  REQUIRE(it.Planner.rolloutOrdered({std::string(Lookup), "v2", 12s, 1},
                                    at(it.Now)));
  it.warm();
  uint64_t atNew = 0;
  uint64_t hedged = 0;
  for (uint64_t offset = 1; offset <= 60; ++offset) {
    it.Planner.rolloutLearned(std::string(Lookup),
                              {offset, {1, "v2", Phase::Running, 3, 0s}}, 0s,
                              at(it.Now));
    const auto first = it.beginLate();
    const auto second = it.hedge(it.Handle);
    const bool isNew = first.To.Target.SoftwareVersion == "v2";
    atNew += isNew ? 1 : 0;
    hedged += second ? 1 : 0;
    if (isNew)
      CHECK_FALSE(second);
    if (second)
      CHECK(second->To.Target.SoftwareVersion == "v1");
    it.answer(it.Handle, first);
    it.Planner.end(it.Handle, at(it.Now));
    it.warm();
  }
  CHECK(atNew > 0);
  CHECK(hedged > 0);
  CHECK(it.notStarted(HedgeRefusal::Rollout) == atNew);
}

TEST_CASE("a call that is quarantined meanwhile has no hedge") {
  BrokerFixture it;
  CallRequest request;
  request.Fingerprint = 7;
  const auto call = it.begin("/lookup", request);
  it.pass(it.stepOf(call).HedgeAfter);
  it.Quarantined.applyRemote(7, Lookup, 10min, at(it.Now));
  CHECK_FALSE(it.Node.hedge(call, at(it.Now)));
  it.Quarantined.lift(7);
  CHECK(it.Node.hedge(call, at(it.Now)));
}

TEST_CASE("recorded hedges replay") {
  auto settings = share(100);
  settings.QuantilePermille = 900;
  settings.ServiceSharePermille["other/service"] = 7;
  LateFixture it(settings);
  for (int n = 0; n < 30; ++n) {
    const auto first = it.beginLate();
    const auto second = it.hedge(it.Handle);
    it.Now += 10ms;
    it.answer(it.Handle, second && n % 2 == 0 ? *second : first);
    it.Planner.end(it.Handle, at(it.Now));
    if (n % 5 == 0)
      it.warm();
  }
  CHECK(it.counts().Won > 0);
  CHECK(it.counts().Lost > 0);
  CallPlanPlayer player;
  size_t differences = 0;
  for (const auto &entry : it.Kept.Entries)
    differences += player.play(entry) == entry.Decided ? 0 : 1;
  CHECK(it.Kept.Entries.size() > 1000);
  CHECK(differences == 0);
}
