#include <LibFleet/ReadingFleet.h>
#include <LibFleet/RecordFreshness.h>

#include <doctest/doctest.h>
#include <set>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

namespace {

using Store = ReadingFleet::Store;

constexpr base::Duration Bound = ReadingFleet::Bound;

constexpr size_t DataCentres = 3;

std::string nameOf(size_t n) { return "dc-" + std::to_string(n % DataCentres); }

/// Starts \p count nodes and waits until they hold the first version.
void startAll(ReadingFleet &fleet, size_t count) {
  for (size_t n = 0; n < count; ++n)
    fleet.start(n, nameOf(n));
  fleet.publish();
  fleet.IsMeasured = false;
  fleet.run(15s);
  REQUIRE(fleet.behind() == 0);
  fleet.IsMeasured = true;
}

} // namespace

TEST_CASE(
    "calls to the store grow with data centres and time, not with nodes") {
  uint64_t calls[2]{};
  constexpr size_t Sizes[] = {30, 120};
  for (int n = 0; n < 2; ++n) {
    ReadingFleet fleet(3);
    startAll(fleet, Sizes[n]);
    auto before = fleet.Calls;
    for (int versions = 0; versions < 20; ++versions) {
      fleet.publish();
      fleet.run(1s);
    }
    calls[n] = fleet.Calls - before;
    fleet.run(Bound);
    CHECK(fleet.behind() == 0);
    CHECK(fleet.latest() < Bound);
    // For each of three readers: the long polls, and two reads for each
    // version.
    CHECK(calls[n] < 3 * (20 * 10 / 6 + 20 * 2));
  }
  CHECK(calls[1] < calls[0] * 13 / 10);
}

TEST_CASE("a cold start makes few calls besides those of the readers") {
  ReadingFleet fleet(5);
  for (size_t n = 0; n < 120; ++n)
    fleet.start(n, nameOf(n));
  fleet.run(1s);
  fleet.publish();
  fleet.run(9s);
  CHECK(fleet.behind() == 0);
  CHECK(fleet.Calls < 240);
}

TEST_CASE("no version is late, whatever happens to the reader") {
  enum class What : uint8_t { Killed, Frozen, Refused, Cut };
  for (auto what : {What::Killed, What::Frozen, What::Refused, What::Cut})
    for (uint64_t seed : {1, 2, 3, 4}) {
      INFO(static_cast<int>(what), " ", seed);
      ReadingFleet fleet(seed);
      startAll(fleet, 60);
      auto reader = fleet.readerOf("dc-1");
      fleet.run(std::chrono::milliseconds(seed * 130));
      if (what == What::Killed)
        fleet.Down.insert(reader);
      if (what == What::Frozen)
        fleet.Frozen.insert(reader);
      if (what == What::Refused)
        fleet.StoreModes[reader] = Store::Refuses;
      if (what == What::Cut)
        fleet.partition([&](size_t n) { return n == reader; });
      fleet.publish();
      auto before = fleet.Calls;
      fleet.run(Bound);
      // A frozen reader lacks the version, as it would with any design.
      CHECK(fleet.behind() == (what == What::Frozen ? 1 : 0));
      CHECK(fleet.latest() < Bound);
      CHECK(fleet.Calls - before < 90);
    }
}

TEST_CASE(
    "in small data centres no version is late, whatever happens to one or "
    "all readers") {
  enum class What : uint8_t { Killed, Frozen, Refused, Silent, Cut };
  for (size_t size : {3, 6, 9, 12})
    for (auto what :
         {What::Killed, What::Frozen, What::Refused, What::Silent, What::Cut})
      for (bool isOne : {true, false})
        for (uint64_t seed = 1; seed <= 8; ++seed) {
          CAPTURE(size);
          CAPTURE(static_cast<int>(what));
          CAPTURE(isOne);
          CAPTURE(seed);
          ReadingFleet fleet(seed);
          startAll(fleet, size);
          fleet.run(std::chrono::milliseconds(seed * 130));
          std::set<size_t> readers{fleet.readerOf("dc-1")};
          for (size_t n = 0; n < DataCentres && !isOne; ++n)
            readers.insert(fleet.readerOf(nameOf(n)));
          for (auto it : readers) {
            if (what == What::Killed)
              fleet.Down.insert(it);
            if (what == What::Frozen)
              fleet.Frozen.insert(it);
            if (what == What::Refused)
              fleet.StoreModes[it] = Store::Refuses;
            if (what == What::Silent)
              fleet.StoreModes[it] = Store::Silent;
            if (what == What::Cut)
              fleet.partition([&](size_t n) { return n == it; });
          }
          // No node that the store serves may be left where it answers none.
          bool isServed = size > DataCentres || isOne || what == What::Cut;
          if (!isServed)
            continue;
          auto lost = what == What::Frozen ? readers.size() : 0;
          for (int n = 0; n < 8; ++n) {
            fleet.publish();
            fleet.run(700ms);
          }
          fleet.run(Bound - 700ms);
          CHECK(fleet.behind() == lost);
          CHECK(fleet.latest() < Bound);
        }
}

TEST_CASE("no version is late before nodes agree on their ranks") {
  for (size_t size : {1, 2, 3, 6, 12})
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      CAPTURE(size);
      CAPTURE(seed);
      ReadingFleet fleet(seed);
      for (size_t n = 0; n < size; ++n) {
        fleet.start(n, nameOf(n));
        fleet.run(std::chrono::milliseconds(seed * 40));
      }
      for (int n = 0; n < 12; ++n) {
        fleet.publish();
        fleet.run(250ms);
      }
      // All of a data centre's nodes but one are replaced at once.
      for (size_t n = 1; n < size; ++n)
        fleet.start(n, nameOf(n), 2000);
      fleet.IsMeasured = false;
      fleet.run(Bound);
      CHECK(fleet.behind() == 0);
      fleet.IsMeasured = true;
      for (int n = 0; n < 12; ++n) {
        fleet.publish();
        fleet.run(250ms);
      }
      fleet.run(Bound);
      CHECK(fleet.behind() == 0);
      CHECK(fleet.latest() < Bound);
    }
}

TEST_CASE(
    "answers that reach the readers late are taken for the store's word of "
    "now") {
  for (auto delay : {0ms, 300ms, 600ms, 1000ms, 1400ms})
    for (uint64_t seed = 1; seed <= 24; ++seed) {
      CAPTURE(delay.count());
      CAPTURE(seed);
      ReadingFleet fleet(seed);
      startAll(fleet, 12);
      for (size_t n = 0; n < DataCentres; ++n)
        fleet.AnswerDelays[fleet.readerOf(nameOf(n))] = delay;
      fleet.run(std::chrono::milliseconds(3000 + seed * 130));
      for (int n = 0; n < 6; ++n) {
        fleet.publish();
        fleet.run(1700ms);
      }
      fleet.run(Bound);
      CHECK(fleet.behind() == 0);
      CHECK(fleet.latest() < Bound);
    }
}

TEST_CASE("no version is late if all readers are lost when it is published") {
  for (uint64_t seed : {1, 2, 3}) {
    ReadingFleet fleet(seed);
    startAll(fleet, 60);
    for (size_t n = 0; n < DataCentres; ++n)
      fleet.Down.insert(fleet.readerOf(nameOf(n)));
    fleet.publish();
    fleet.run(Bound);
    CHECK(fleet.behind() == 0);
    CHECK(fleet.latest() < Bound);
  }
}

TEST_CASE("a store that refuses a third of the nodes makes no version late") {
  for (uint64_t seed : {1, 2, 3}) {
    ReadingFleet fleet(seed);
    startAll(fleet, 60);
    base::Random rng(seed);
    for (auto &[n, mode] : fleet.StoreModes)
      mode = rng.below(3) == 0 ? Store::Refuses : Store::Serves;
    for (size_t n = 0; n < DataCentres; ++n)
      fleet.StoreModes[fleet.readerOf(nameOf(n))] = Store::Refuses;
    auto before = fleet.Calls;
    for (int n = 0; n < 9; ++n) {
      fleet.publish();
      fleet.run(1s);
    }
    fleet.run(Bound - 1s);
    CHECK(fleet.behind() == 0);
    CHECK(fleet.latest() < Bound);
    CHECK(fleet.Calls - before < 500);
  }
}

TEST_CASE("a partitioned data centre reads for itself") {
  ReadingFleet fleet(7);
  startAll(fleet, 60);
  fleet.partition([](size_t n) { return n % DataCentres == 1; });
  for (int n = 0; n < 5; ++n) {
    fleet.publish();
    fleet.run(1s);
  }
  fleet.run(Bound - 1s);
  CHECK(fleet.behind() == 0);
  CHECK(fleet.latest() < Bound);
}

TEST_CASE("each node makes a bounded number of calls to a store that is down") {
  ReadingFleet fleet(7);
  startAll(fleet, 60);
  fleet.setStore(Store::Refuses);
  auto before = fleet.Calls;
  fleet.run(10s);
  CHECK(fleet.Calls - before < 60 * 7);
  fleet.setStore(Store::Serves);
  fleet.publish();
  // After the store is back 4 s are allowed; its readers retry sooner.
  fleet.run(3s);
  CHECK(fleet.behind() == 0);
}

TEST_CASE("a store that loses all open reads makes versions late") {
  for (size_t size : {3, 9, 60})
    for (uint64_t seed : {1, 2, 3})
      for (auto silence : {400ms, 1000ms, 2000ms, 4000ms, 7000ms, 10000ms}) {
        CAPTURE(size);
        CAPTURE(seed);
        CAPTURE(silence.count());
        ReadingFleet fleet(seed);
        startAll(fleet, size);
        base::Random rng(seed);
        // A second outage begins while nodes recover from the first.
        for (auto length : {base::Duration(silence), base::Duration(400ms)}) {
          fleet.run(std::chrono::milliseconds(rng.below(1500)));
          fleet.setStore(Store::Silent);
          fleet.run(length);
          fleet.setStore(Store::Serves);
          fleet.publish();
          fleet.run(Bound);
          CHECK(fleet.behind() == 0);
          CHECK(fleet.latest() < Bound);
        }
      }
}

TEST_CASE("in a small data centre nothing bounds the age of a node's reading") {
  for (uint32_t live : {1, 2, 3, 4}) {
    CAPTURE(live);
    auto now = base::TimePoint{1h};
    RecordFreshness it({Bound}, 1, now);
    CHECK(it.duty({0, live}, now).What == ReadDuty::Kind::None);
    now += 1min;
    auto duty = it.duty({0, live}, now);
    CHECK(duty.What == ReadDuty::Kind::Follow);
    CHECK(duty.LongPoll < Bound / 2);
    CHECK(duty.LongestPause < Bound / 2);
    // The others rest while reports are fresh and no longer.
    it.readConfirmed(now);
    CHECK(it.duty({live - 1, live}, now + Bound / 2).What ==
          (live == 1 ? ReadDuty::Kind::Follow : ReadDuty::Kind::None));
    auto late = it.duty({live - 1, live}, now + Bound * 3 / 4);
    CHECK(late.What ==
          (live == 1 ? ReadDuty::Kind::Follow : ReadDuty::Kind::Once));
    CHECK(late.LongPoll < Bound / 2);
  }
}

TEST_CASE("a version reported without an age triggers no read at once") {
  auto now = base::TimePoint{1h};
  RecordFreshness it({Bound}, 1, now);
  now += 1min;
  it.setHeldVersion(5);
  it.readConfirmed(now);
  it.reported({6, std::nullopt}, now + 100ms);
  it.setHeldVersion(6);
  CHECK_FALSE(it.report(now + 200ms).Age);
  CHECK(it.duty({7, 20}, now + 200ms).What == ReadDuty::Kind::None);
  CHECK(it.duty({7, 20}, now + 2s).What == ReadDuty::Kind::Once);
}

TEST_CASE("the age of a version that is no longer the newest stands still") {
  auto now = base::TimePoint{1h};
  RecordFreshness it({Bound}, 1, now);
  CHECK_FALSE(it.currentAge(now));
  it.setHeldVersion(5);
  it.readConfirmed(now);
  it.reported({6, 0s}, now + 1s);
  CHECK(it.currentAge(now + 3s) == 3s);
  it.setHeldVersion(6);
  CHECK(it.currentAge(now + 3s) == 2s);
}

TEST_CASE("a restarted node waits for word of the store from after its start") {
  const base::TimePoint start(1h);
  FreshnessSettings settings;
  RecordFreshness node(settings, 1, start);
  // A peer that was last told of version 3 before the start: its word says
  // nothing of version 4, which this node may have held.
  node.reported({3, 300ms}, start + 200ms);
  node.setHeldVersion(3);
  CHECK_FALSE(node.isAsNewAsBefore(start + 200ms));
  SUBCASE("the newer version comes") {
    node.reported({4, 100ms}, start + 400ms);
    CHECK_FALSE(node.isAsNewAsBefore(start + 400ms));
    node.setHeldVersion(4);
    CHECK(node.isAsNewAsBefore(start + 400ms));
  }
  SUBCASE("the store holds nothing newer") {
    node.reported({3, 100ms}, start + 400ms);
    CHECK(node.isAsNewAsBefore(start + 400ms));
    // A later version does not stop the node.
    node.setHeldVersion(4);
    CHECK(node.isAsNewAsBefore(start + 500ms));
  }
  SUBCASE("no node hears from the store") {
    CHECK_FALSE(node.isAsNewAsBefore(start + settings.Bound - 1ms));
    CHECK(node.isAsNewAsBefore(start + settings.Bound));
  }
}

TEST_CASE("a report of an older or a newer version does not confirm the "
          "version held") {
  auto now = base::TimePoint{1h};
  RecordFreshness it({Bound}, 1, now);
  it.setHeldVersion(5);
  it.readConfirmed(now);
  CHECK(it.report(now + 100ms).Age == 100ms);
  it.reported({4, 0s}, now + 1s);
  CHECK(it.report(now + 1s).Age == 1s);
  // Version 6 exists, so 5 is no longer known to be the newest.
  it.reported({6, 0s}, now + 1s);
  CHECK_FALSE(it.report(now + 1s).Age);
  CHECK(it.duty({7, 20}, now + 2s).What == ReadDuty::Kind::Once);
  it.readConfirmed(now + 1s); // A stale read that did not return 6.
  CHECK_FALSE(it.report(now + 1s).Age);
  // No read is due: 5 was the newest a short while ago, and nothing but 6 has
  // been reported since.
  auto bare = it;
  CHECK(bare.duty({7, 20}, now + 1s).What == ReadDuty::Kind::None);
  it.setHeldVersion(6);
  CHECK(it.report(now + 1500ms).Age == 500ms);
  CHECK(it.duty({7, 20}, now + 2s).What == ReadDuty::Kind::None);
}
