#include <LibTenants/AllotmentKeeper.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tenants;

TEST_CASE("a keeper grants nothing on a share that was lent too long ago") {
  AllotmentKeeper keeper{AllotmentSettings{}};
  base::TimePoint now{std::chrono::seconds(50)};
  keeper.configure({{"t", 100, 100}}, now);
  AllotmentMessage ask;
  ask.Group = allotmentGroupOf("t");
  ask.Session = 1;
  ask.Sequence = 1;
  ask.ShareOf = 1;
  ask.Needs = {{"t", 0, 0, 10}};
  auto answer = keeper.handle("a", ask, now);
  CHECK(keeper.share(ask.Group) == 0); // No stamp was echoed.
  ask.Stamp = answer.Stamp;
  ask.Sequence = 2;
  now += AllotmentSettings{}.Lease + std::chrono::milliseconds(1);
  keeper.handle("a", ask, now);
  CHECK(keeper.share(ask.Group) == 0);
  ask.Stamp = uint64_t(now.time_since_epoch().count());
  ask.Sequence = 3;
  keeper.handle("a", ask, now);
  CHECK(keeper.share(ask.Group) == 1);
  now += std::chrono::milliseconds(500);
  ask.Sequence = 4;
  answer = keeper.handle("a", ask, now);
  REQUIRE(answer.Grants.size() == 1);
  CHECK(answer.Grants[0].Granted == 10);
  SUBCASE("an ask that arrives again is not answered") {
    CHECK(keeper.handle("a", ask, now).Sequence == 0);
  }
  SUBCASE("the share lapses") {
    now += AllotmentSettings{}.Lease - std::chrono::milliseconds(499);
    keeper.expire(now);
    CHECK(keeper.share(ask.Group) == 0);
  }
}

namespace {

/// A keeper of one tenant "t" that node "a" has lent all shares.
struct LentKeeper {
  LentKeeper() {
    Keeper.configure({{"t", 100, 100}}, Now);
    Ask.Group = allotmentGroupOf("t");
    Ask.Session = 1;
    Ask.ShareOf = 1;
  }
  /// Asks as "a" after \p wait, with the stamp of the present.
  AllotmentGrant ask(base::Duration wait, uint64_t used, uint32_t stock,
                     uint32_t want) {
    Now += wait;
    ++Ask.Sequence;
    Ask.Stamp = static_cast<uint64_t>(Now.time_since_epoch().count());
    Ask.Needs = {{"t", used, stock, want}};
    auto answer = Keeper.handle("a", Ask, Now);
    REQUIRE(answer.Grants.size() == 1);
    return answer.Grants[0];
  }

  AllotmentKeeper Keeper{AllotmentSettings{}};
  AllotmentMessage Ask;
  base::TimePoint Now{std::chrono::seconds(50)};
};

constexpr uint32_t Plenty = 1000000;

} // namespace

TEST_CASE("tokens that come back are granted again, used ones are not") {
  LentKeeper it;
  it.ask({}, 0, 0, 0);
  CHECK(it.ask(std::chrono::milliseconds(500), 0, 0, Plenty).Granted == 50);
  SUBCASE("a lost grant") { CHECK(it.ask({}, 0, 0, Plenty).Granted == 50); }
  SUBCASE("used") { CHECK(it.ask({}, 50, 0, Plenty).Granted == 0); }
  SUBCASE("partly used, partly held") {
    auto grant = it.ask({}, 20, 30, Plenty);
    CHECK(grant.Kept == 30);
    CHECK(grant.Granted == 0);
  }
  SUBCASE("a node keeps no more than it was granted") {
    CHECK(it.ask({}, 0, 70, 0).Kept == 50);
  }
  SUBCASE("a request that was not run") {
    it.ask({}, 50, 0, 0);
    CHECK(it.ask({}, 45, 0, Plenty).Granted == 5);
  }
}

TEST_CASE("tokens that lapsed count as used") {
  LentKeeper it;
  it.Keeper.configure({{"t", 100, 400}}, it.Now); // Nothing is cut off.
  it.ask({}, 0, 0, 0);
  CHECK(it.ask(std::chrono::milliseconds(500), 0, 0, Plenty).Granted == 50);
  // Another node keeps the share up.
  auto other = it.Ask;
  other.Sequence = 1;
  other.Needs.clear();
  const auto lease = AllotmentSettings{}.Lease;
  it.Now += lease - std::chrono::milliseconds(100);
  other.Stamp = static_cast<uint64_t>(it.Now.time_since_epoch().count());
  it.Keeper.handle("b", other, it.Now);
  auto grant = it.ask(std::chrono::milliseconds(200), 50, 0, Plenty);
  // What accrued at 100 a second, and nothing of the 50.
  const auto accrued = static_cast<uint32_t>(
      (lease + std::chrono::milliseconds(100)) / std::chrono::milliseconds(10));
  CHECK(grant.Granted <= accrued);
  CHECK(grant.Granted >= accrued - 2);
}

TEST_CASE("a node's new session leaves what it held counted as used") {
  LentKeeper it;
  it.ask({}, 0, 0, 0);
  CHECK(it.ask(std::chrono::milliseconds(500), 0, 0, Plenty).Granted == 50);
  it.Ask.Session = 2;
  CHECK(it.ask({}, 0, 50, Plenty).Kept == 0);
}

TEST_CASE("unused tokens stay within the bound") {
  LentKeeper it;
  it.ask({}, 0, 0, 0);
  for (int n = 0; n < 100; ++n)
    it.ask(std::chrono::milliseconds(100), 0, 0, 0);
  auto bound = unusedBound({"t", 100, 100}, AllotmentSettings{});
  CHECK(bound < 100 + 0.1 * 600 + 20);
  CHECK(it.ask({}, 0, 0, Plenty).Granted == static_cast<uint32_t>(bound));
}
