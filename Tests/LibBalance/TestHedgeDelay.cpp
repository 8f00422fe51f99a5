#include <LibBalance/HedgeDelay.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::balance;
using namespace std::chrono_literals;

namespace {

HedgeDelay afterAnswer(base::Duration latency) {
  HedgeDelay out;
  out.observed(latency);
  return out;
}

} // namespace

TEST_CASE("a second attempt waits for four times the slowest answer, or 1 s") {
  CHECK(afterAnswer(500ms).delay(10s) == 2s);
  CHECK(afterAnswer(20ms).delay(10s) == 1s);
}

TEST_CASE("a call with little time gives half of it to a silent attempt") {
  CHECK(afterAnswer(20ms).delay(1900ms) == 950ms);
  CHECK(afterAnswer(20ms).delay(800ms) == 400ms);
}

TEST_CASE("slow answers aren't taken for silence where there is little time") {
  CHECK(afterAnswer(140ms).delay(800ms) == 560ms);
  CHECK(afterAnswer(200ms).delay(800ms) == 0ms);
}

TEST_CASE("where nothing was answered yet, silence lasts 1 s") {
  CHECK(HedgeDelay().delay(800ms) == 0ms);
  CHECK(HedgeDelay().delay(10s) == 1s);
}
