#include <LibBalance/RefusalJudge.h>
#include <LibBalance/RefusalShare.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

TEST_CASE("a refusal is spurious only if the target states room for the call") {
  struct Row {
    std::optional<TargetLoad> Stated;
    uint64_t Sent;
    RefusalKind Kind;
  };
  const Row rows[] = {
      {std::nullopt, 3, RefusalKind::Full},
      {TargetLoad{2, 0, 6, {}}, 3, RefusalKind::Spurious},
      {TargetLoad{0, 0, 6, {}}, 1, RefusalKind::Spurious},
      {TargetLoad{3, 0, 6, {}}, 3, RefusalKind::Spurious},
      {TargetLoad{6, 0, 6, {}}, 6, RefusalKind::Full},
      {TargetLoad{7, 2, 6, {}}, 9, RefusalKind::Full},
      // Something else runs or waits there.
      {TargetLoad{4, 0, 6, {}}, 3, RefusalKind::Full},
      {TargetLoad{2, 5, 6, {}}, 3, RefusalKind::Full},
  };
  for (const auto &row : rows) {
    RefusalJudge it;
    CHECK(it.refused(row.Stated, row.Sent, at(1s)) == row.Kind);
  }
}

TEST_CASE("a target that refuses everything is full whatever it states") {
  const TargetLoad idle{0, 0, 6, {}};
  RefusalJudge it;
  for (uint32_t n = 1; n < RefusalJudge::MaximumStreak; ++n)
    CHECK(it.refused(idle, 1, at(1s)) == RefusalKind::Spurious);
  CHECK(it.refused(idle, 1, at(1s)) == RefusalKind::Full);
  CHECK(it.refused(idle, 1, at(2s)) == RefusalKind::Full);
  SUBCASE("until it answers") {
    it.answered();
    CHECK(it.refused(idle, 1, at(2s)) == RefusalKind::Spurious);
  }
  SUBCASE("unless the refusals are far apart") {
    const auto later = at(2s + RefusalJudge::StreakLifetime + 1us);
    CHECK(it.refused(idle, 1, later) == RefusalKind::Spurious);
  }
}

TEST_CASE("the share of refused calls follows them and is forgotten") {
  RefusalShare it;
  CHECK(it.permille(at(1s)) == 0);
  for (int n = 0; n < 100; ++n)
    it.refused(at(1s));
  CHECK(it.permille(at(1s)) == RefusalShare::MaximumPermille);
  CHECK(it.permille(at(1s + RefusalShare::Lifetime)) == 0);
  for (int n = 0; n < 100; ++n) {
    it.refused(at(1s));
    it.answered(at(1s));
  }
  CHECK(it.permille(at(1s)) > 400);
  CHECK(it.permille(at(1s)) < 600);
}
