#include <LibBase/Random.h>
#include <LibCalls/CallFixtures.h>
#include <LibCalls/CallPlanner.h>
#include <LibCalls/RetryBudget.h>

#include <deque>
#include <doctest/doctest.h>
#include <iostream>
#include <memory>
#include <utility>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

/// Idempotent calls through a chain of nodes, each with its own retry budget.
/// The last target breaks half of its attempts. A target whose downstream call
/// failed breaks its own connection as well.
class Chain {
public:
  static constexpr size_t Depth = 8;

  explicit Chain(bool marks) : Marks(marks) {
    for (size_t level = 0; level < Depth; ++level) {
      Levels.push_back(std::make_unique<CallPlanner>(Locality{"dc1", "south"},
                                                     level, Recorder));
      Levels.back()->membersChanged({member("a"), member("b"), member("c")},
                                    at(Now));
    }
  }

  bool call() {
    Now += 1ms;
    for (auto &it : Levels)
      it->tick(at(Now));
    return run(0, false);
  }

  uint64_t LeafAttempts = 0;

private:
  bool run(size_t level, bool withinRetry) {
    if (level == Depth) {
      ++LeafAttempts;
      return Randomness.below(2) == 0;
    }
    const CallHandle handle = ++Last;
    RoutedCall call;
    call.ServiceName = Lookup;
    call.CallRank = Rank::Standard;
    call.Allowed = 5s;
    call.Idempotent = true;
    call.WithinRetry = withinRetry;
    call.RetryBudgetPercent = 10;
    auto step = Levels[level]->begin(handle, call, at(Now));
    while (step.What == CallStep::Kind::Send) {
      const bool retried = Marks && (withinRetry || step.Retry);
      const bool answered = run(level + 1, retried);
      auto result = ends(answered ? AttemptEnd::Answered : AttemptEnd::Broken);
      result.DownstreamFailed = Marks && !answered && level + 1 < Depth;
      step = Levels[level]->attemptEnded(handle, result, at(Now));
    }
    Levels[level]->end(handle, at(Now));
    return step.Outcome == CallOutcome::Answered;
  }

  bool Marks;
  trace::NullRecorder Recorder;
  std::vector<std::unique_ptr<CallPlanner>> Levels;
  base::Random Randomness{3};
  base::Duration Now = 1h;
  CallHandle Last = 0;
};

} // namespace

TEST_CASE(
    "a retry budget never exceeds its share, except for one first retry") {
  RetryBudget budget;
  RetryLimits limits;
  CHECK_FALSE(budget.available(Rank::Critical, limits, 1, at(0s)));
  std::deque<std::pair<base::Duration, bool>> window; // Time, whether a retry.
  int64_t calls = 0;
  int64_t retries = 0;
  int64_t spent = 0;
  for (int64_t n = 0; n < 40'000; ++n) {
    const base::Duration now = 1h + n * 5ms;
    budget.called(100, limits.Window, at(now));
    window.emplace_back(now, false);
    ++calls;
    if (budget.available(Rank::Critical, limits, 1, at(now))) {
      budget.spend(limits, at(now));
      window.emplace_back(now, true);
      ++retries;
      ++spent;
    }
    while (window.front().first <= now - limits.Window) {
      --(window.front().second ? retries : calls);
      window.pop_front();
    }
    CHECK(retries <= std::max<int64_t>(1, calls / 10));
  }
  CHECK(spent > 3000);
  RetryBudget none;
  none.called(0, limits.Window, at(1h));
  CHECK_FALSE(none.available(Rank::Critical, limits, 1, at(1h)));
}

TEST_CASE("nodes share the retry slack and spent retries leave the window") {
  RetryLimits limits;
  limits.RatioPermille = 200;
  limits.Slack = 60;
  const auto spendAll = [&limits](RetryBudget &budget, Rank rank,
                                  base::Duration now) {
    int out = 0;
    while (budget.available(rank, limits, 10, at(now))) {
      budget.spend(limits, at(now));
      ++out;
    }
    return out;
  };
  RetryBudget budget;
  for (int n = 0; n < 20; ++n)
    budget.called(200, limits.Window, at(1h));
  // 20 calls earn 4 retries, and the node's tenth of the slack is 6.
  CHECK(spendAll(budget, Rank::Background, 1h) == 5);
  CHECK(spendAll(budget, Rank::Standard, 1h) == 2);
  CHECK(spendAll(budget, Rank::Critical, 1h) == 3);
  CHECK(spendAll(budget, Rank::Critical, 1h + 9s) == 0);
  CHECK(spendAll(budget, Rank::Critical, 1h + 12s) == 6);
  CHECK_FALSE(RetryBudget().available(Rank::Critical, limits, 0, at(1h)));
}

TEST_CASE("retries do not multiply along a chain of 8 calls") {
  constexpr uint64_t Calls = 20'000;
  Chain marked(true);
  Chain unmarked(false);
  uint64_t answered = 0;
  for (uint64_t n = 0; n < Calls; ++n) {
    answered += marked.call() ? 1 : 0;
    unmarked.call();
  }
  const auto factor = [](const Chain &it) {
    return static_cast<double>(it.LeafAttempts) / Calls;
  };
  std::cout << "8 deep, half of the last attempts fail: attempts per call "
            << factor(marked) << ", without marks " << factor(unmarked)
            << ", answered " << answered << " of " << Calls << "\n";
  CHECK(factor(marked) <= 1.1);
  CHECK(answered > Calls / 2);
  // Without the marks each level spends its own budget on retries.
  CHECK(factor(unmarked) > 1.1);
}

TEST_CASE(
    "the last step of a call has the reason why there is no further attempt") {
  struct Row {
    AttemptResult Result;
    bool Idempotent;
    uint32_t BudgetPercent;
    StopReason Stop;
  };
  auto downstreamFailed = ends(AttemptEnd::Broken);
  downstreamFailed.DownstreamFailed = true;
  const Row rows[] = {
      {ends(AttemptEnd::Answered), false, 10, StopReason::Answered},
      {ends(AttemptEnd::Broken), false, 10, StopReason::NotRepeatable},
      {ends(AttemptEnd::Broken), true, 0, StopReason::NoBudget},
      {downstreamFailed, true, 10, StopReason::DownstreamFailed},
      {ends(AttemptEnd::RefusedNotRun, ResultCode::TargetRefused), true, 0,
       StopReason::NoBudget},
      {ends(AttemptEnd::RefusedNotRun, ResultCode::Quarantined), true, 10,
       StopReason::Final},
      {ends(AttemptEnd::CallerGone), true, 10, StopReason::ClientGone},
  };
  trace::NullRecorder recorder;
  CallHandle handle = 0;
  for (const auto &row : rows) {
    CAPTURE(static_cast<int>(row.Stop));
    CallPlanner planner({"dc1", "south"}, 5, recorder);
    planner.membersChanged({member("a"), member("b"), member("c")}, at(0s));
    RoutedCall call;
    call.ServiceName = Lookup;
    call.Allowed = 5s;
    call.Idempotent = row.Idempotent;
    call.RetryBudgetPercent = row.BudgetPercent;
    const auto first = planner.begin(++handle, call, at(3s));
    REQUIRE(first.What == CallStep::Kind::Send);
    CHECK(first.Basis.Candidates == 3);
    CHECK(first.Basis.LeftOut == 0);
    CHECK(first.Basis.KnownAge == 3s);
    const auto last = planner.attemptEnded(handle, row.Result, at(4s));
    CHECK(last.What == CallStep::Kind::Finish);
    CHECK(last.Stop == row.Stop);
    if (row.Stop == StopReason::NoBudget)
      CHECK(last.RetriesLeft == 0);
  }
}

TEST_CASE("the last step of a call reports that there is no target or no other "
          "target") {
  trace::NullRecorder recorder;
  CallPlanner planner({"dc1", "south"}, 5, recorder);
  RoutedCall call;
  call.ServiceName = Lookup;
  call.Allowed = 5s;
  call.Idempotent = true;
  call.RetryBudgetPercent = 10;
  CHECK(planner.begin(1, call, at(0s)).Stop == StopReason::NoTarget);
  planner.membersChanged({member("a")}, at(0s));
  planner.begin(2, call, at(0s));
  auto last = planner.attemptEnded(2, ends(AttemptEnd::Broken), at(1s));
  CHECK(last.Stop == StopReason::NoOtherTarget);
  CHECK(last.RetriesLeft == 1);
  call.Allowed = 1ms;
  CHECK(planner.begin(3, call, at(2s)).Stop == StopReason::NoTime);
}

TEST_CASE("no retry is spent on a call that can hardly end in time") {
  trace::NullRecorder recorder;
  CallPlanner planner({"dc1", "south"}, 1, recorder);
  planner.membersChanged({member("a"), member("b")}, at(0s));
  RoutedCall route{std::string(Lookup), Rank::Standard, 1s};
  route.RetryBudgetPercent = 100;
  CallHandle handle = 0;
  const auto now = at(1min);
  for (int n = 0; n < 20; ++n) {
    planner.begin(++handle, route, now);
    auto answer = ends(AttemptEnd::Answered);
    answer.ExpectedTime = 400ms;
    planner.attemptEnded(handle, answer, now);
    planner.end(handle, now);
  }
  struct Row {
    base::Duration Spent;
    ResultCode Code;
    StopReason Stop;
  };
  const Row rows[] = {
      {100ms, ResultCode::TargetRefused, StopReason::None},
      {790ms, ResultCode::TargetRefused, StopReason::None},
      {810ms, ResultCode::TargetRefused, StopReason::NoTime},
      // It costs nothing.
      {810ms, ResultCode::Overloaded, StopReason::None},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Spent.count());
    planner.begin(++handle, route, now);
    const auto before = planner.retriesLeft(now).front().second;
    auto refused = ends(AttemptEnd::RefusedNotRun, row.Code);
    refused.Refusal = RefusalKind::Spurious; // No backoff.
    const auto step = planner.attemptEnded(handle, refused, now + row.Spent);
    CHECK(step.Stop == row.Stop);
    CHECK((step.What == CallStep::Kind::Send) ==
          (row.Stop == StopReason::None));
    const bool isCharged =
        row.Stop == StopReason::None && row.Code == ResultCode::TargetRefused;
    CHECK(planner.retriesLeft(now).front().second ==
          before - (isCharged ? 1 : 0));
    planner.end(handle, now + row.Spent);
  }
}
