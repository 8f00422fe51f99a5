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
  CHECK(plan.look(0, Start) == Step::Serve);
}

TEST_CASE("a draining node leaves once it is quiet, and once only") {
  node::DrainPlan plan;
  CHECK(plan.start(6s, Start));
  CHECK_FALSE(plan.start(60s, Start + 1s));
  CHECK(plan.look(3, Start + 1s) == Step::Serve);
  CHECK(plan.look(0, Start + 1050ms) == Step::Serve);
  CHECK(plan.look(0, Start + 1100ms) == Step::Quiet);
  CHECK(plan.isStarted());
  CHECK(plan.look(0, Start + 1200ms) == Step::Left);
}

TEST_CASE("a call that never ends does not keep the process to its last") {
  node::DrainPlan plan;
  plan.start(6s, Start);
  CHECK(plan.look(1, Start + 5s) == Step::Serve);
  // Before the grace time is over, with room for the leave itself.
  CHECK(plan.look(1, Start + 5300ms) == Step::Late);
  CHECK(plan.look(1, Start + 5400ms) == Step::Left);
}
