#include <LibFleet/VersionCatchUp.h>

#include <chrono>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

namespace {
constexpr base::TimePoint Start{1h};
} // namespace

TEST_CASE("a node asks no peer if no newer version was announced") {
  VersionCatchUp it({}, 1);
  it.versionAnnounced(3, "a", Start);
  for (auto passed = 0ms; passed < 60s; passed += 50ms)
    CHECK_FALSE(it.isDue({3}, Start + passed));
}

TEST_CASE(
    "a node that does not read the store asks the announcing peer at once") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.versionAnnounced(3, "a", Start);
    it.versionAnnounced(4, "b", Start);
    it.versionAnnounced(2, "c", Start);
    CHECK(it.isDue({3}, Start));
    CHECK(it.nextHolder() == "b");
    // One request at a time, and another if it returned nothing.
    CHECK_FALSE(it.isDue({3}, Start + 400ms));
    it.requestEnded(Start + 400ms);
    CHECK(it.isDue({3}, Start + 400ms));
    it.requestEnded(Start + 401ms);
    CHECK_FALSE(it.isDue({4}, Start + 30s));
  }
}

TEST_CASE("a reader asks a peer only after the delay for its own read") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.versionAnnounced(4, "b", Start);
    CHECK_FALSE(it.isDue({3, true}, Start + 240ms));
    CHECK(it.isDue({3, true}, Start + 400ms));
  }
}

TEST_CASE("a reader waits for its own read while that is spaced") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.versionAnnounced(4, "b", Start);
    for (auto passed = 0ms; passed <= 1s; passed += 50ms)
      CHECK_FALSE(it.isDue({3, true, true}, Start + passed));
    CHECK_FALSE(it.isDue({3, true}, Start + 1240ms));
    // In time for the bound of 2 s if that read returns nothing.
    CHECK(it.isDue({3, true}, Start + 1400ms));
  }
}

TEST_CASE("an unanswered request does not block the next one") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.versionAnnounced(4, "b", Start);
    it.versionAnnounced(4, "c", Start);
    CHECK(it.isDue({3}, Start));
    auto first = it.nextHolder();
    // The peer is partitioned; another one is asked within the bound.
    CHECK_FALSE(it.isDue({3}, Start + 550ms));
    CHECK(it.isDue({3}, Start + 600ms));
    CHECK(it.nextHolder() != first);
  }
}

TEST_CASE("a busy holder is not asked before its retry delay has passed") {
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.versionAnnounced(4, "b", Start);
    CHECK(it.isDue({3}, Start));
    it.requestEnded(Start + 5ms, 400ms);
    CHECK_FALSE(it.isDue({3}, Start + 200ms));
    CHECK(it.isDue({3}, Start + 610ms));
  }
}

TEST_CASE("a reader waits for the transfer of a large version before it asks a "
          "peer") {
  // 250 KB take 0.29 s over a link of 7 Mbit/s, which carries calls as well.
  constexpr uint64_t Bytes = 250'000;
  for (uint64_t seed = 1; seed < 50; ++seed) {
    VersionCatchUp it({}, seed);
    it.versionAnnounced(4, "b", Start);
    for (auto passed = 0ms; passed <= 1100ms; passed += 50ms)
      CHECK_FALSE(it.isDue({3, true, false, Bytes}, Start + passed));
    // In time for the bound of 2.5 s for such links.
    CHECK(it.isDue({3, true, false, Bytes}, Start + 1250ms));
    for (auto passed = 1300ms; passed <= 2600ms; passed += 50ms)
      CHECK_FALSE(it.isDue({3, true, false, Bytes}, Start + passed));
    CHECK(it.isDue({3, true, false, Bytes}, Start + 2750ms));
  }
}

TEST_CASE("holders of older versions are dropped, and the latest come first") {
  VersionCatchUp it({}, 7);
  CHECK_FALSE(it.nextHolder());
  it.versionAnnounced(3, "a", Start);
  it.versionAnnounced(4, "b", Start);
  it.versionAnnounced(4, "c", Start);
  it.versionAnnounced(4, "b", Start);
  CHECK(it.nextHolder() == "c");
  CHECK(it.nextHolder() == "b");
  CHECK(it.nextHolder() == "c");
}
