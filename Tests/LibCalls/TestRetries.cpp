#include <LibBase/Random.h>
#include <LibCalls/CallFixtures.h>
#include <LibCalls/CallPlanner.h>
#include <LibCalls/RetryBudget.h>

#include <doctest/doctest.h>
#include <iostream>
#include <memory>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;

namespace {

/// Idempotent calls through a chain of nodes, each with its own budget, where
/// the last target breaks half of its attempts. A target above a failed call
/// fails as well, by breaking its own connection.
class Chain {
public:
  static constexpr size_t Depth = 8;

  explicit Chain(bool marks) : Marks(marks) {
    for (size_t level = 0; level < Depth; ++level) {
      Levels.push_back(std::make_unique<CallPlanner>(Place{"dc1", "south"},
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
  bool run(size_t level, bool belowRetry) {
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
    call.BelowRetry = belowRetry;
    call.RetryBudgetPercent = 10;
    auto step = Levels[level]->begin(handle, call, at(Now));
    while (step.What == CallStep::Kind::Send) {
      const bool retried = Marks && (belowRetry || step.Retry);
      const bool answered = run(level + 1, retried);
      auto result = ends(answered ? AttemptEnd::Answered : AttemptEnd::Broken);
      result.FailedBelow = Marks && !answered && level + 1 < Depth;
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

TEST_CASE("a budget never allows more than its share, but one retry at first") {
  RetryBudget budget;
  CHECK_FALSE(budget.spend());
  uint64_t spent = 0;
  for (uint64_t calls = 1; calls <= 10'000; ++calls) {
    budget.called(10);
    spent += budget.spend() ? 1 : 0;
    CHECK(spent <= std::max<uint64_t>(1, calls / 10));
  }
  CHECK(spent == 1000);
  for (int n = 0; n < 10'000; ++n) // Savings are bounded too.
    budget.called(10);
  for (int64_t n = 0; n < RetryBudget::HighestSaving; ++n)
    CHECK(budget.spend());
  CHECK_FALSE(budget.spend());
  RetryBudget none;
  none.called(0);
  CHECK_FALSE(none.available());
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
  // Without the marks each level spends its own budget.
  CHECK(factor(unmarked) > 1.1);
}
