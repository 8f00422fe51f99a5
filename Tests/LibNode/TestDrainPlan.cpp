#include <LibNode/DrainPlan.h>

#include <chrono>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;
using Step = node::DrainPlan::Step;

namespace {
constexpr base::TimePoint Start{1h};
} // namespace

TEST_CASE("a node that was not told to stop keeps serving") {
  node::DrainPlan plan;
  CHECK_FALSE(plan.isStarted());
  CHECK(plan.poll(0, Start) == Step::Continue);
}

TEST_CASE(
    "a draining node leaves exactly once, after its last call has ended") {
  node::DrainPlan plan;
  CHECK(plan.start(6s, Start));
  CHECK_FALSE(plan.start(60s, Start + 1s));
  CHECK(plan.poll(3, Start + 1s) == Step::Continue);
  CHECK(plan.poll(0, Start + 1050ms) == Step::Continue);
  CHECK(plan.poll(0, Start + 1100ms) == Step::LeaveIdle);
  CHECK(plan.isStarted());
  CHECK(plan.poll(0, Start + 1200ms) == Step::AlreadyLeft);
}

TEST_CASE("a call that never ends does not delay leaving past the deadline") {
  node::DrainPlan plan;
  plan.start(6s, Start);
  CHECK(plan.poll(1, Start + 5s) == Step::Continue);
  // Before the grace period ends, with time left to leave the mesh.
  CHECK(plan.poll(1, Start + 5300ms) == Step::LeaveAtDeadline);
  CHECK(plan.poll(1, Start + 5400ms) == Step::AlreadyLeft);
}
