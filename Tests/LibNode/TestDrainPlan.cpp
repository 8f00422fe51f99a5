#include <LibNode/DrainPlan.h>

#include <chrono>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;
using Step = node::DrainPlan::Step;

namespace {
constexpr base::TimePoint Start{1h};
} // namespace

TEST_CASE("a node that is not told to stop serves") {
  node::DrainPlan plan;
  CHECK_FALSE(plan.isStarted());
  CHECK(plan.poll(0, Start) == Step::Continue);
}

TEST_CASE("a draining node leaves once it is quiet, and once only") {
  node::DrainPlan plan;
  CHECK(plan.start(6s, Start));
  CHECK_FALSE(plan.start(60s, Start + 1s));
  CHECK(plan.poll(3, Start + 1s) == Step::Continue);
  CHECK(plan.poll(0, Start + 1050ms) == Step::Continue);
  CHECK(plan.poll(0, Start + 1100ms) == Step::LeaveIdle);
  CHECK(plan.isStarted());
  CHECK(plan.poll(0, Start + 1200ms) == Step::AlreadyLeft);
}

TEST_CASE("a call that never ends does not keep the process to its last") {
  node::DrainPlan plan;
  plan.start(6s, Start);
  CHECK(plan.poll(1, Start + 5s) == Step::Continue);
  // Before the grace time is over, with room for the leave itself.
  CHECK(plan.poll(1, Start + 5300ms) == Step::LeaveAtDeadline);
  CHECK(plan.poll(1, Start + 5400ms) == Step::AlreadyLeft);
}
