#include <LibAdmission/SlotTimes.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

constexpr auto Objective = 500ms;

/// The times of one target's calls, which take 100 ms at the usual pace.
struct Paced {
  /// Ends calls one after the other at a pace that changes after each eight;
  /// \p stated: what the target states then, in percent of the true one.
  void play(int calls, uint32_t stated) {
    for (int n = 0; n < calls; ++n) {
      const uint32_t pace = n / 8 % 2 == 0 ? 100 : 250;
      const auto told = pace * stated / 100;
      It.observed(Rank::Standard, Objective, 1ms * pace, told);
      It.paceStated(told, at(0s));
    }
  }
  base::Duration expected(base::Duration passed) const {
    return It.expected(Rank::Standard, Objective, at(passed));
  }

  SlotTimes It;
};

} // namespace

TEST_CASE("a true pace tells at once how long the next call takes") {
  Paced paced;
  paced.play(64, 100);
  paced.It.paceStated(100, at(1s));
  CHECK(paced.expected(1s) == 100ms);
  paced.It.paceStated(250, at(1s));
  CHECK(paced.expected(1s) == 250ms);
  // Later nobody knows; the mean of the last calls counts.
  CHECK(paced.expected(2s) > 150ms);
  CHECK(paced.expected(2s) < 250ms);
}

TEST_CASE("without a pace the mean of the last calls is expected") {
  SlotTimes it;
  for (int n = 0; n < 40; ++n)
    it.observed(Rank::Standard, Objective, 80ms, std::nullopt);
  CHECK(it.expected(Rank::Standard, Objective, at(0s)) == 80ms);
}

TEST_CASE("a pace that foretells nothing does not count") {
  SlotTimes it;
  for (int n = 0; n < 64; ++n)
    it.observed(Rank::Standard, Objective, 100ms, n % 2 == 0 ? 100 : 300);
  it.paceStated(300, at(0s));
  CHECK(it.expected(Rank::Standard, Objective, at(0s)) == 100ms);
}
