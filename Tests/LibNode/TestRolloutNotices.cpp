#include <LibNode/RolloutNotices.h>

#include <LibBase/Hash.h>
#include <LibFleet/NoticeBoard.h>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using namespace std::chrono_literals;
using node::RolloutNotice;

namespace {

RolloutNotice notice(RolloutNotice::Kind what) {
  RolloutNotice out;
  out.What = what;
  out.Ordered = {"external/lookup", "v 2", 12s, 7};
  out.Progress = {9, {7, "v 2", rollout::Phase::RolledBack, 3, 1500ms}};
  out.Age = 20ms;
  out.Counts.OrderAt = 7;
  out.Counts.Boot = 1;
  out.Counts.Sequence = 2;
  out.Counts.IsHalted = true;
  for (int n = 0; n < 20; ++n)
    out.Counts.Routes.push_back(
        {"r" + std::to_string(n), {static_cast<uint64_t>(n), 1}, {10, 2}});
  return out;
}

RolloutNotice sent(const RolloutNotice &it) {
  auto out = node::parseRolloutNotice(rolloutTopic(it), rolloutText(it));
  REQUIRE(out);
  CHECK(out->What == it.What);
  CHECK(out->Ordered.Service == "external/lookup");
  CHECK(out->Ordered.At == 7);
  return *out;
}

} // namespace

TEST_CASE("notices of roll-outs survive the way between nodes") {
  using Kind = RolloutNotice::Kind;
  const auto order = sent(notice(Kind::Order));
  CHECK(order.Ordered.Version == "v 2");
  CHECK(order.Ordered.Period == 12s);
  const auto state = sent(notice(Kind::State));
  CHECK(state.Progress.Offset == 9);
  CHECK(state.Progress.Value == notice(Kind::State).Progress.Value);
  CHECK(state.Age == 20ms);
  sent(notice(Kind::Halt));
  CHECK(rolloutText(notice(Kind::State)).size() <=
        fleet::NoticeBoard::MaximumTextBytes);
}

TEST_CASE("a report has a bounded number of routes and all answers") {
  const auto out = sent(notice(RolloutNotice::Kind::Counts));
  CHECK(out.Counts.IsHalted);
  REQUIRE(out.Counts.Routes.size() == node::MaximumReportedRoutes + 1);
  CHECK(out.Counts.Routes[0].Route == std::to_string(base::hash64("r19")));
  rollout::Tally all;
  for (const auto &it : out.Counts.Routes)
    all.add(it.New);
  CHECK(all == rollout::Tally{190, 20});
}

TEST_CASE("a malformed notice is ignored") {
  for (const auto *text : {"", "x", "1", "1 2 9 0 0 0 12000 v2", "1 2 0 0 0 0",
                           "1 2 0 0 -1 0 12000 v2", "1 2 0 0 0 0 0 v2",
                           "1 2 0 0 0 0 12000", "1 2 0 0 0 0 99999999999 v"})
    CHECK_FALSE(node::parseRolloutNotice("rollout-state/s", text));
  CHECK_FALSE(node::parseRolloutNotice("rollout-state/", "1 2 0 0 0 0 1 v"));
  CHECK_FALSE(node::parseRolloutNotice("quarantine/1/2", "1"));
  CHECK_FALSE(node::parseRolloutNotice("rollout-counts/s", "1 2"));
}
