#include <LibCalls/CallFixtures.h>
#include <LibCalls/Quarantine.h>
#include <LibCalls/QuarantinePlayer.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

using Fingerprints = std::vector<uint64_t>;

struct QuarantineFixture {
  KeepingRecorder Recorder;
  Quarantine Held{Recorder};
  Fingerprints crash(const std::string &id, const Fingerprints &running,
                     base::Duration passed) {
    return Held.targetCrashed(id, Lookup, running, at(passed));
  }
};

} // namespace

TEST_CASE(
    "the second crash quarantines a request until it expires or is lifted") {
  QuarantineFixture it;
  CHECK_FALSE(it.Held.crashed(7, Lookup, at(0s)));
  CHECK_FALSE(it.Held.blocks(7, Lookup, at(0s)));
  CHECK(it.Held.crashed(7, Lookup, at(10s)));
  CHECK(it.Held.blocks(7, Lookup, at(10s)));
  REQUIRE(it.Held.entries(at(10s)).size() == 1);
  CHECK(it.Held.entries(at(10s))[0].Crashes == 2);
  const auto over = 10s + Quarantine::QuarantineLifetime;
  CHECK(it.Held.blocks(7, Lookup, at(over - 1us)));
  CHECK_FALSE(it.Held.blocks(7, Lookup, at(over)));
  CHECK(it.Held.lift(7));
  CHECK_FALSE(it.Held.lift(7));
  CHECK_FALSE(it.Held.blocks(7, Lookup, at(10s)));
}

TEST_CASE("several reports of one crash count once") {
  QuarantineFixture it;
  CHECK(it.crash("a", {7, 7}, 0s).empty());
  CHECK(it.crash("a", {7}, 500ms).empty());
  CHECK(it.crash("b", {7}, 600ms) == Fingerprints{7});
  CHECK(it.crash("a", {8}, 2s).empty());
  CHECK(it.crash("a", {8}, 4s) == Fingerprints{8});
}

TEST_CASE("requests that are answered elsewhere are not suspected") {
  QuarantineFixture it;
  it.Held.answered(1, Lookup, at(0s));
  CHECK(it.crash("a", {1, 2, 66}, 1s).empty());
  it.Held.answered(2, Lookup, at(2s));
  CHECK(it.crash("b", {1, 2, 66}, 3s) == Fingerprints{66});
}

TEST_CASE(
    "a request that was answered before it crashes targets is suspected") {
  // Guards against answers that hide for a minute that a request now crashes.
  QuarantineFixture it;
  it.Held.answered(66, Lookup, at(0s));
  CHECK(it.crash("a", {66}, 2s).empty());
  CHECK(it.crash("b", {66}, 4s).empty());
  CHECK(it.crash("a", {66}, 6s) == Fingerprints{66});
}

TEST_CASE("a crash with many requests in flight adds no new suspects") {
  QuarantineFixture it;
  CHECK(it.crash("a", {66}, 0s).empty());
  Fingerprints many{66};
  for (uint64_t n = 100; n < 100 + Quarantine::MaximumSuspectsPerCrash; ++n)
    many.push_back(n);
  CHECK(it.crash("b", many, 5s) == Fingerprints{66});
  CHECK(it.crash("c", {100}, 9s).empty());
}

TEST_CASE("the memory for distinct fingerprints is bounded") {
  QuarantineFixture it;
  for (uint64_t n = 1; n <= 100'000; ++n) {
    it.Held.crashed(n, Lookup, at(std::chrono::microseconds(n)));
    it.Held.applyRemote(1'000'000 + n, Lookup, 1h, at(0s));
  }
  CHECK(it.Held.entries(at(1s)).size() <= Quarantine::MaximumEntries);
  CHECK(it.Held.takeReports().size() <= Quarantine::MaximumEntries);
  // Lifetimes from other nodes are bounded too.
  CHECK(it.Held.entries(at(Quarantine::QuarantineLifetime)).empty());
}

TEST_CASE("first crashes at two nodes quarantine the request at both") {
  QuarantineFixture a;
  QuarantineFixture b;
  a.crash("a", {66}, 0s);
  const auto reports = a.Held.takeReports();
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].Crashes == 1);
  CHECK_FALSE(b.Held.applyRemoteSuspect(66, Lookup, at(1s)));
  CHECK(b.Held.takeReports().empty());
  CHECK(b.crash("b", {66}, 2s) == Fingerprints{66});
  const auto decision = b.Held.takeReports();
  REQUIRE(decision.size() == 1);
  CHECK(decision[0].Crashes == 2);
  a.Held.applyRemote(66, Lookup, Quarantine::QuarantineLifetime, at(3s));
  CHECK(a.Held.blocks(66, Lookup, at(3s)));
}

TEST_CASE("a recorded quarantine replays with equal outcomes") {
  QuarantineFixture it;
  it.crash("a", {1, 66}, 0s);
  it.Held.answered(1, Lookup, at(1s));
  it.Held.applyRemoteSuspect(5, Lookup, at(1s));
  it.crash("b", {1, 5, 66}, 2s);
  it.Held.applyRemote(9, Lookup, 1min, at(3s));
  it.Held.lift(66);
  it.Held.lift(66);
  QuarantinePlayer player;
  for (const auto &entry : it.Recorder.Entries)
    CHECK(player.play(entry) == entry.Decided);
  CHECK(it.Recorder.Entries.size() == 9);
}
