#include <LibBalance/AnswerTimes.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

/// 1 ms to 100 ms, evenly.
AnswerTimes evenTimes() {
  AnswerTimes out;
  for (int n = 1; n <= 100; ++n)
    out.observed(n * 1ms, at(1h));
  return out;
}

bool isNear(base::Duration is, base::Duration wanted) {
  const auto off = is - wanted;
  return off <= wanted / 12 && off >= -wanted / 12;
}

} // namespace

TEST_CASE("a quantile is known once enough answers lie beyond it") {
  AnswerTimes it;
  for (int n = 0; n < 59; ++n)
    it.observed(10ms, at(1h));
  CHECK_FALSE(it.quantile(950, at(1h)));
  CHECK(it.quantile(900, at(1h)));
  it.observed(10ms, at(1h));
  CHECK(it.quantile(950, at(1h + AnswerTimes::RefreshInterval)));
}

TEST_CASE("quantiles and the time that is left follow the answers") {
  auto it = evenTimes();
  CHECK(isNear(*it.quantile(950, at(1h)), 95ms));
  CHECK(isNear(*it.quantile(500, at(1h)), 50ms));
  CHECK(isNear(it.rest(40ms, at(1h)), 30ms));
  CHECK(it.rest(200ms, at(1h)) == 200ms);
}

TEST_CASE("an abandoned attempt leaves the quantiles below it as they are") {
  auto it = evenTimes();
  auto later = at(1h);
  // Five of each hundred are given up when 95 have come.
  for (int n = 0; n < 300; ++n) {
    later += 1ms;
    if (n % 100 < 95)
      it.observed((n % 100 + 1) * 1ms, later);
    else
      it.abandoned(*it.quantile(950, later), later);
  }
  CHECK(isNear(*it.quantile(950, later + 1s), 95ms));
  CHECK(it.rest(95ms, later + 1s) > 1ms);
}

TEST_CASE("answers are forgotten by age and by number") {
  auto it = evenTimes();
  CHECK(it.quantile(950, at(1h + AnswerTimes::GenerationTime)));
  CHECK_FALSE(it.quantile(950, at(1h + 2 * AnswerTimes::GenerationTime)));
  auto busy = evenTimes();
  for (uint64_t n = 0; n < 2 * AnswerTimes::GenerationAnswers; ++n)
    busy.observed(10ms, at(1h));
  CHECK(isNear(*busy.quantile(990, at(1h + 1s)), 10ms));
}
