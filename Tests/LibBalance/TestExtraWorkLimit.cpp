#include <LibBalance/ExtraWorkLimit.h>
#include <LibCalls/CallFixtures.h>

#include <array>
#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <tuple>
#include <vector>

using namespace radishcross;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

constexpr size_t Nodes = 3;
constexpr int64_t FullPermille = 1000;

struct Event {
  base::Duration At{};
  bool IsExtra = false;
};

/// Returns whether in every span (a, b] the extra attempts are at most the
/// share of the first ones in (a - Window, b].
bool holdsInEverySpan(const std::vector<Event> &events, int64_t permille) {
  for (size_t from = 0; from < events.size(); ++from) {
    if (!events[from].IsExtra)
      continue;
    const auto earliest = events[from].At - ExtraWorkLimit::Window;
    int64_t earned = 0;
    for (size_t n = 0; n < from; ++n)
      earned += !events[n].IsExtra && events[n].At > earliest ? permille : 0;
    int64_t spent = 0;
    for (size_t n = from; n < events.size(); ++n) {
      earned += events[n].IsExtra ? 0 : permille;
      spent += events[n].IsExtra ? FullPermille : 0;
      if (spent > earned)
        return false;
    }
  }
  return true;
}

} // namespace

TEST_CASE("extra work stays within its share in every span, over all nodes") {
  // Unless RC_PARAMS is already set, as for a longer manual run.
  setenv("RC_PARAMS", "seed=20261207 max_success=300 max_size=400", 0);
  const bool holds = rc::check([] {
    const auto permille = *rc::gen::inRange<int64_t>(1, 300);
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<uint32_t, uint32_t, bool>>>(
            rc::gen::tuple(rc::gen::inRange<uint32_t>(0, 400),
                           rc::gen::inRange<uint32_t>(0, Nodes),
                           rc::gen::arbitrary<bool>()));
    std::array<ExtraWorkLimit, Nodes> limits;
    std::vector<Event> events;
    base::Duration now = 1h;
    for (const auto &[wait, node, isFirst] : steps) {
      // Rarely a pause of up to 12 s.
      now += std::chrono::milliseconds(wait < 395 ? wait : (wait - 394) * 2000);
      auto &limit = limits.at(node);
      if (isFirst) {
        limit.started(permille, at(now));
        events.push_back({now, false});
      } else if (limit.available(FullPermille, at(now))) {
        limit.spend(at(now));
        events.push_back({now, true});
      }
    }
    RC_ASSERT(holdsInEverySpan(events, permille));
  });
  CHECK(holds);
}

TEST_CASE("what is earned is spent once, in part, and not after the window") {
  ExtraWorkLimit limit;
  for (int n = 0; n < 100; ++n)
    limit.started(50, at(1h));
  CHECK(limit.available(200, at(1h)));
  CHECK_FALSE(limit.available(199, at(1h)));
  CHECK_FALSE(limit.available(0, at(1h)));
  int spent = 0;
  for (; limit.available(FullPermille, at(1h + 8s)); ++spent)
    limit.spend(at(1h + 8s));
  CHECK(spent == 5);
  for (int n = 0; n < 100; ++n)
    limit.started(50, at(2h));
  CHECK(limit.available(FullPermille, at(2h + 8999ms)));
  CHECK_FALSE(limit.available(FullPermille, at(2h + ExtraWorkLimit::Window)));
}
