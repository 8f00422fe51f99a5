#include <LibBalance/ExtraWorkLimit.h>
#include <LibCalls/HedgedFleet.h>

#include <doctest/doctest.h>
#include <iostream>

using namespace radishcross;
using namespace radishcross::balance;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;

namespace {

using Totals = HedgedFleet::Totals;

constexpr int64_t SharePermille = 50;

/// 50 to 150 ms, evenly.
base::Duration evenWork(base::Random &draw) {
  return 50ms + base::Duration(static_cast<int64_t>(draw.below(100'000)));
}

/// Three calls in a hundred take seven times as long.
base::Duration tailedWork(base::Random &draw) {
  return evenWork(draw) * (draw.below(100) < 3 ? 7 : 1);
}

/// 80 to 120 ms, or 2.5 times as long.
base::Duration noisyWork(bool isNoisy, base::Random &draw) {
  const auto work =
      80ms + base::Duration(static_cast<int64_t>(draw.below(40'000)));
  return work * (isNoisy ? 5 : 2) / 2;
}

/// Another sixth of the targets is slow in every 600 ms.
base::Duration alwaysNoisy(size_t target, base::Duration now,
                           base::Random &draw) {
  const auto period = static_cast<size_t>(now / 600ms);
  return noisyWork((target * 7 + period * 11) % 6 == 0, draw);
}

/// One sixth of the targets is slow at times, each for 600 ms in 3.6 s.
base::Duration sometimesNoisy(size_t target, base::Duration now,
                              base::Random &draw) {
  const auto period = static_cast<size_t>(now / 600ms);
  return noisyWork(target % 6 == 0 && (period + target / 6) % 6 == 0, draw);
}

HedgedFleet::Settings with(int64_t sharePermille) {
  HedgedFleet::Settings out;
  out.Hedges.SharePermille = sharePermille;
  return out;
}

/// Checks that in every span (a, b] the hedges are at most the share of the
/// first attempts in (a - ExtraWorkLimit::Window, b], over all callers.
void checkLimit(const Totals &totals, int64_t sharePermille) {
  const auto &starts = totals.Starts;
  for (size_t from = 0; from < starts.size(); ++from) {
    if (!starts[from].IsHedge)
      continue;
    int64_t earned = 0;
    for (size_t n = from;
         n-- > 0 && starts[n].At > starts[from].At - ExtraWorkLimit::Window;)
      earned += starts[n].IsHedge ? 0 : sharePermille;
    int64_t spent = 0;
    for (size_t n = from; n < starts.size(); ++n) {
      (starts[n].IsHedge ? spent : earned) +=
          starts[n].IsHedge ? 1000 : sharePermille;
      if (spent > earned) {
        FAIL("more extra work than allowed");
        return;
      }
    }
  }
}

Totals play(const std::string &name, const HedgedFleet::Settings &settings) {
  auto out = HedgedFleet(settings).run();
  checkLimit(out, settings.Hedges.SharePermille);
  std::cout << name << ", share " << settings.Hedges.SharePermille
            << " permille: calls=" << out.Calls << " answered=" << out.Answered
            << " p50_us=" << out.quantile(500)
            << " over_240ms=" << out.slowerThan(240ms)
            << " p99_us=" << out.quantile(990)
            << " p999_us=" << out.quantile(999)
            << " hedges=" << out.Counts.Started << " won=" << out.Counts.Won
            << " lost=" << out.Counts.Lost;
  for (const auto &it : HedgeRefusalNames)
    if (const auto n = out.Counts.NotStarted[static_cast<size_t>(it.Value)])
      std::cout << " " << it.Name << "=" << n;
  std::cout << '\n';
  return out;
}

} // namespace

TEST_CASE("hedges cut the tail of work that sometimes takes long") {
  Totals totals[2];
  for (const bool isOn : {false, true}) {
    auto settings = with(isOn ? SharePermille : 0);
    settings.Work = [](size_t, base::Duration, base::Random &draw) {
      return tailedWork(draw);
    };
    totals[isOn ? 1 : 0] =
        play("3% of the work takes 7 times as long", settings);
  }
  CHECK(totals[0].Counts.Started == 0);
  CHECK(totals[1].quantile(990) * 10 < totals[0].quantile(990) * 7);
  CHECK(totals[1].quantile(500) * 100 < totals[0].quantile(500) * 103);
  CHECK(totals[1].Answered >= totals[0].Answered);
}

TEST_CASE("hedges cut the tail of noise on a sixth of the targets at times") {
  Totals totals[2];
  for (const bool isOn : {false, true}) {
    auto settings = with(isOn ? SharePermille : 0);
    settings.Work = sometimesNoisy;
    totals[isOn ? 1 : 0] = play("noise on a sixth at times", settings);
  }
  // At even odds: a call that is late has not much longer to go than another.
  CHECK(totals[1].slowerThan(240ms) < totals[0].slowerThan(240ms));
  CHECK(totals[1].quantile(990) < totals[0].quantile(990));
  CHECK(totals[1].quantile(500) * 100 < totals[0].quantile(500) * 103);
}

TEST_CASE("where more calls are slow than the share allows hedges cut a part") {
  Totals totals[2];
  for (const bool isOn : {false, true}) {
    auto settings = with(isOn ? 2 * SharePermille : 0);
    // A sixth of the answers is slow, so the default quantile is one of these.
    settings.Hedges.QuantilePermille = 850;
    settings.Work = alwaysNoisy;
    totals[isOn ? 1 : 0] = play("noise on a sixth always", settings);
  }
  CHECK(totals[1].Counts.Started > 500);
  CHECK(totals[1].slowerThan(240ms) < totals[0].slowerThan(240ms));
  CHECK(totals[1].quantile(500) * 100 < totals[0].quantile(500) * 103);
}

TEST_CASE("where all targets become slow next to no hedge starts") {
  auto settings = with(SharePermille);
  settings.Length = 6s;
  const auto slowFrom = HedgedFleet::Begin + settings.Warm;
  settings.Interval = 3ms; // Room enough also at a third of the speed.
  settings.Work = [slowFrom](size_t, base::Duration now, base::Random &draw) {
    return tailedWork(draw) * (now >= slowFrom ? 3 : 1);
  };
  const auto totals = play("all targets three times as slow", settings);
  CHECK(totals.hedgesBetween(slowFrom - 5s, slowFrom) > 20);
  // A tenth of what the share would allow of 1,000 calls.
  CHECK(totals.hedgesBetween(slowFrom + 1s, slowFrom + 4s) <= 5);
}

TEST_CASE("no hedge starts near overload") {
  auto settings = with(SharePermille);
  settings.Length = 8s;
  const auto fullFrom = HedgedFleet::Begin + settings.Warm;
  settings.Work = [fullFrom](size_t, base::Duration now, base::Random &draw) {
    // The same calls need 1.2 times what the targets have.
    return tailedWork(draw) * (now >= fullFrom ? 5 : 2) / 2;
  };
  const auto totals = play("overload", settings);
  CHECK(totals.hedgesBetween(fullFrom - 5s, fullFrom) > 20);
  CHECK(totals.hedgesBetween(fullFrom + 2s, fullFrom + 8s) == 0);
}

TEST_CASE("a call whose answer is lost is answered by a hedge") {
  Totals totals[2];
  for (const bool isOn : {false, true}) {
    auto settings = with(isOn ? SharePermille : 0);
    settings.Work = [](size_t, base::Duration, base::Random &draw) {
      return draw.below(100) == 0 ? -1us : evenWork(draw);
    };
    totals[isOn ? 1 : 0] = play("1% of the answers are lost", settings);
  }
  CHECK(totals[0].quantile(999) > 900'000);
  CHECK(totals[1].quantile(999) < 500'000);
  CHECK(totals[1].Answered > totals[0].Answered);
}
