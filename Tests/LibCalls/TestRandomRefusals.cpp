#include <LibCalls/RefusingTargets.h>

#include <doctest/doctest.h>

using namespace radishcross::calls::testing;

TEST_CASE("targets that refuse 55% at random still run all that reaches them") {
  for (const uint64_t seed : {1, 2, 3}) {
    RefusingTargets::Settings settings;
    settings.Seed = seed;
    const auto out = RefusingTargets(settings).run();
    CAPTURE(seed);
    CAPTURE(out.Calls);
    CAPTURE(out.Answered);
    CAPTURE(out.Arrivals);
    const auto retries = out.Calls * RefusingTargets::RetryPermille / 1000;
    // What is in flight at the end, and less than two windows of slack.
    CHECK(out.Arrivals <=
          out.Calls + retries + 2 * RefusingTargets::RetrySlack);
    const auto bound =
        (out.Calls + retries) * (100 - settings.RefusedPercent) / 100;
    CHECK(out.Answered >= bound * 90 / 100);
  }
}

TEST_CASE("a few targets that refuse at random don't draw calls from others") {
  for (const uint64_t seed : {1, 2, 3}) {
    RefusingTargets::Settings settings;
    settings.Refusing = 4;
    settings.Seed = seed;
    const auto out = RefusingTargets(settings).run();
    CAPTURE(out.Calls);
    CAPTURE(out.Refused);
    CHECK(out.Answered >= out.Calls * 95 / 100);
    // Their part of an even spread would be 9%.
    CHECK(out.Refused <= out.Calls * 9 / 100);
  }
}
