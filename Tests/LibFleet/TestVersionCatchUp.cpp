#include <LibFleet/VersionCatchUp.h>

#include <chrono>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

namespace {
constexpr base::TimePoint Start{1h};
} // namespace

TEST_CASE("a node that its store serves asks nobody") {
  VersionCatchUp it({}, 1);
  for (auto passed = 0ms; passed < 60s; passed += 50ms)
    CHECK_FALSE(it.isDue({3, true}, Start + passed));
}

TEST_CASE("news of a higher version is asked for after the store's time") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.heard(3, Start);
    CHECK_FALSE(it.isDue({3, true}, Start + 10s));
    it.heard(4, Start + 10s);
    it.heard(2, Start + 10s);
    CHECK_FALSE(it.isDue({3, true}, Start + 10240ms));
    CHECK(it.isDue({3, true}, Start + 10400ms));
    // One question at a time, and again when it brought nothing.
    CHECK_FALSE(it.isDue({3, true}, Start + 10900ms));
    it.ended();
    CHECK(it.isDue({3, true}, Start + 10900ms));
    it.ended();
    CHECK_FALSE(it.isDue({4, true}, Start + 30s));
  }
}

TEST_CASE("a node that reads the store again in a moment waits for that") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.heard(4, Start);
    for (auto passed = 0ms; passed <= 1s; passed += 50ms)
      CHECK_FALSE(it.isDue({3, true, true}, Start + passed));
    CHECK_FALSE(it.isDue({3, true}, Start + 1240ms));
    // In time for the two seconds, should that read bring nothing.
    CHECK(it.isDue({3, true}, Start + 1400ms));
  }
}

TEST_CASE("a question that gets no answer does not keep from the next") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.heard(4, Start);
    CHECK(it.isDue({3, true}, Start + 400ms));
    // The peer is behind a cut; another one is asked in time for the bound.
    CHECK_FALSE(it.isDue({3, true}, Start + 900ms));
    CHECK(it.isDue({3, true}, Start + 1s));
  }
}

TEST_CASE("a large version has time to arrive before a peer is asked") {
  // 250 KB take 0.29 s over a link of 7 Mbit/s, which carries calls as well.
  constexpr uint64_t Bytes = 250'000;
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.heard(4, Start);
    for (auto passed = 0ms; passed <= 1100ms; passed += 50ms)
      CHECK_FALSE(it.isDue({3, true, false, Bytes}, Start + passed));
    // In time for the bound of 2.5 s that goes with such links.
    CHECK(it.isDue({3, true, false, Bytes}, Start + 1250ms));
    for (auto passed = 1300ms; passed <= 2600ms; passed += 50ms)
      CHECK_FALSE(it.isDue({3, true, false, Bytes}, Start + passed));
    CHECK(it.isDue({3, true, false, Bytes}, Start + 2750ms));
  }
}

TEST_CASE("a node that its store fails asks by itself") {
  VersionCatchUp it({}, 7);
  CHECK(it.isDue({0, false}, Start));
  it.ended();
  int asked = 0;
  for (auto passed = 0ms; passed < 10s; passed += 10ms)
    if (it.isDue({0, false}, Start + passed)) {
      ++asked;
      it.ended();
    }
  CHECK(asked > 20);
  CHECK(asked < 70);
  asked = 0;
  for (auto passed = 10s + 0ms; passed < 20s; passed += 10ms)
    if (it.isDue({3, false}, Start + passed)) {
      ++asked;
      it.ended();
    }
  CHECK(asked > 5);
  CHECK(asked < 20);
}
