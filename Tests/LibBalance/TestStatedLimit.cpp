#include <LibBalance/StatedLimit.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

TargetSignals limitOf(std::optional<MilliRate> rate) {
  TargetSignals out;
  out.RateLimit = rate;
  return out;
}

} // namespace

TEST_CASE("an older answer that arrives late doesn't end a rate limit") {
  StatedLimit it;
  CHECK(it.answered(limitOf(16'000), at(1s), at(2s)));
  CHECK_FALSE(it.answered(limitOf({}), at(1900ms), at(3s)));
  CHECK_FALSE(it.answered(limitOf(30'000), at(1900ms), at(3s)));
  CHECK(it.rate() == 16'000);
  CHECK(it.answered(limitOf(8'000), at(1500ms), at(3s)));
  CHECK(it.rate() == 8'000);
}

TEST_CASE("a rate limit ends when the target no longer states it") {
  StatedLimit it;
  it.answered(limitOf(16'000), at(1s), at(2s));
  CHECK(it.answered(limitOf(20'000), at(2s), at(3s)));
  CHECK(it.rate() == 20'000);
  CHECK(it.answered(limitOf({}), at(3s), at(4s)));
  CHECK_FALSE(it.rate());
}

TEST_CASE("a malformed rate limit neither sets nor ends one") {
  StatedLimit it;
  TargetSignals malformed;
  malformed.IsLimitMalformed = true;
  CHECK_FALSE(it.answered(malformed, at(1s), at(2s)));
  CHECK_FALSE(it.rate());
  it.answered(limitOf(16'000), at(2s), at(3s));
  CHECK_FALSE(it.answered(malformed, at(3s), at(4s)));
  CHECK(it.rate() == 16'000);
}

TEST_CASE("a reported rate limit counts until the target's first answer") {
  StatedLimit it;
  CHECK(it.reported(16'000));
  CHECK_FALSE(it.reported(20'000));
  CHECK(it.reported(8'000));
  CHECK(it.rate() == 8'000);
  CHECK(it.answered(limitOf({}), at(1s), at(2s)));
  CHECK_FALSE(it.reported(8'000));
  CHECK_FALSE(it.rate());
}
