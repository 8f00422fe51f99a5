#include <LibRollout/Evidence.h>

#include <LibRollout/AnswerJudge.h>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::rollout;
using namespace std::chrono_literals;

namespace {

base::TimePoint at(base::Duration it) { return base::TimePoint(it); }

NodeCounts report(std::string node, uint64_t sequence, Tally fresh, Tally old,
                  std::string route = "look") {
  NodeCounts it;
  it.Node = std::move(node);
  it.Boot = 1;
  it.Sequence = sequence;
  it.Routes = {{std::move(route), fresh, old}};
  return it;
}

} // namespace

TEST_CASE("few answers decide nothing") {
  CHECK_FALSE(Evidence::isWorse({5, 5}, {1000, 0}));
  CHECK_FALSE(Evidence::isWorse({11, 11}, {1000, 0}));
  CHECK_FALSE(Evidence::isWorse({1000, 5}, {1000, 0}));
  CHECK(Evidence::isWorse({12, 6}, {1000, 0}));
}

TEST_CASE("a version is compared with the old one at the same time") {
  CHECK_FALSE(Evidence::isWorse({100, 50}, {1000, 500}));
  CHECK_FALSE(Evidence::isWorse({100, 5}, {1000, 40}));
  CHECK(Evidence::isWorse({100, 50}, {1000, 100}));
}

TEST_CASE("without old answers, half of the new ones must be bad") {
  CHECK_FALSE(Evidence::isWorse({100, 49}, {}));
  CHECK(Evidence::isWorse({100, 50}, {}));
}

TEST_CASE("reports of many nodes are summed, each once") {
  Evidence it;
  for (int n = 0; n < 6; ++n) {
    const auto name = "n" + std::to_string(n);
    it.add(report(name, 2, {2, 2}, {100, 0}), at(1s));
    it.add(report(name, 2, {2, 2}, {100, 0}), at(1s));
    it.add(report(name, 1, {9, 9}, {0, 0}), at(1s));
    CHECK(it.findFault(at(1s)).has_value() == (n == 5));
  }
  CHECK(it.newAnswers() == Tally{12, 12});
  CHECK(it.oldAnswers() == Tally{600, 0});
}

TEST_CASE("a node that restarts adds to what it counted before") {
  Evidence it;
  it.add(report("n", 7, {10, 1}, {50, 0}), at(1s));
  auto again = report("n", 1, {4, 0}, {5, 0});
  again.Boot = 2;
  it.add(again, at(2s));
  CHECK(it.newAnswers() == Tally{14, 1});
  it.add(report("n", 8, {30, 30}, {50, 0}), at(2s));
  CHECK(it.newAnswers() == Tally{14, 1});
}

TEST_CASE("a fault on one route is found among many good answers") {
  Evidence it;
  it.add(report("a", 1, {2000, 0}, {9000, 10}), at(1s));
  it.add(report("b", 1, {16, 8}, {80, 0}, "pay"), at(1s));
  const auto found = it.findFault(at(1s));
  REQUIRE(found);
  CHECK(found->Route == "pay");
}

TEST_CASE("a late fault is found among many earlier good answers") {
  Evidence it;
  it.add(report("a", 1, {100000, 300}, {900000, 2700}), at(1s));
  it.add(report("a", 2, {100040, 312}, {900400, 2701}), at(60s));
  CHECK(it.findFault(at(60s)));
  CHECK_FALSE(it.findFault(at(60s) + Evidence::Recent + 1s));
}

TEST_CASE("answers several times slower than the old version's are bad") {
  AnswerJudge it;
  CHECK_FALSE(it.judge("r", true, false, 900ms));
  for (uint32_t n = 0; n < AnswerJudge::LeastSamples; ++n)
    CHECK_FALSE(it.judge("r", false, false, 20ms));
  CHECK_FALSE(it.judge("r", true, false, 55ms));
  CHECK(it.judge("r", true, false, 65ms));
  CHECK(it.judge("r", true, true, 1ms));
  CHECK_FALSE(it.judge("other", true, false, 900ms));
}
