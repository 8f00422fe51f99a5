#include <LibCalls/BrokerFixture.h>
#include <LibCalls/TrafficSplitter.h>

#include <cmath>
#include <map>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

/// Returns a snapshot with one route that splits requests by \p split.
config::SnapshotPointer splitInto(std::vector<config::WeightedService> split,
                                  uint32_t maximumAttempts = 3) {
  config::VersionContent content;
  for (const auto &it : split)
    content.Services.push_back({it.Service, {}});
  config::Route route{"lookup", {{}, "", "/lookup"}, ""};
  route.Idempotent = true;
  route.MaximumAttempts = maximumAttempts;
  route.Split = std::move(split);
  content.Routes = {route};
  base::LastReason reason;
  auto built = config::Snapshot::create(
      {{"badges", 1, std::make_shared<const config::VersionContent>(content)}},
      1, reason);
  REQUIRE_MESSAGE(built, reason.text());
  return *built;
}

/// Returns how often each service is chosen in \p count requests.
std::map<std::string, int> draw(TrafficSplitter &splitter,
                                const config::SnapshotPointer &snapshot,
                                base::Random &random, int count) {
  std::map<std::string, int> out;
  auto resolved = snapshot->findRoute("GET", "", "/lookup");
  for (int n = 0; n < count; ++n)
    ++out[*splitter.choose(resolved, random).ServiceName];
  return out;
}

} // namespace

TEST_CASE("a split keeps its weights over any hundred requests") {
  auto snapshot = splitInto({{"old", 90}, {"new", 10}});
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    base::Random random(seed);
    TrafficSplitter splitter;
    for (int n = 0; n < 5; ++n) {
      auto drawn = draw(splitter, snapshot, random, 100);
      CHECK(drawn["badges/old"] == 90);
      CHECK(drawn["badges/new"] == 10);
    }
  }
}

TEST_CASE(
    "a destination with weight 0 gets no calls and new weights apply at once") {
  base::Random random(7);
  TrafficSplitter splitter;
  auto before = splitInto({{"old", 1}, {"new", 0}});
  CHECK(draw(splitter, before, random, 50)["badges/new"] == 0);
  auto after = splitInto({{"old", 0}, {"new", 3}});
  CHECK(draw(splitter, after, random, 50)["badges/old"] == 0);
  auto even = splitInto({{"old", 50}, {"new", 50}});
  CHECK(std::abs(draw(splitter, even, random, 21)["badges/old"] - 10) <= 1);
}

TEST_CASE("nodes start the round robin at different phases") {
  auto snapshot = splitInto({{"old", 90}, {"new", 10}});
  int first = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    base::Random random(seed);
    TrafficSplitter splitter;
    first += draw(splitter, snapshot, random, 1)["badges/new"];
  }
  CHECK(first > 5);
  CHECK(first < 40);
}

TEST_CASE("calls that a destination cannot take are refused and not moved to "
          "another") {
  BrokerFixture it;
  it.InForce = splitInto({{"lookup", 50}, {"idle", 50}});
  int refused = 0;
  for (int n = 0; n < 100; ++n) {
    auto step = it.run("/lookup", AttemptEnd::Answered);
    refused += step.Outcome == CallOutcome::NotRun ? 1 : 0;
  }
  CHECK(refused == 50); // "idle" has no target.
}

TEST_CASE("a route's maximum attempts bound the targets that a call reaches") {
  for (uint32_t most : {1U, 2U}) {
    for (auto how : {AttemptEnd::Broken, AttemptEnd::TimedOut}) {
      BrokerFixture it;
      it.InForce = splitInto({{"lookup", 1}}, most);
      auto last = it.run("/lookup", how);
      CHECK(it.Sends == static_cast<int>(most));
      checkUnknown(last);
    }
  }
}

TEST_CASE("a refusal by the target itself counts as an attempt of the route") {
  BrokerFixture it;
  it.InForce = splitInto({{"lookup", 1}}, 1);
  it.run("/lookup", AttemptEnd::RefusedNotRun, ResultCode::TargetRefused);
  CHECK(it.Sends == 1);
  it.run("/lookup", AttemptEnd::RefusedNotRun, ResultCode::Draining);
  CHECK(it.Sends > 1);
}
