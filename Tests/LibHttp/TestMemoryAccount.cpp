#include <LibBase/Clock.h>
#include <LibHttp/ConnectionBudget.h>
#include <LibHttp/MemoryAccount.h>

#include <doctest/doctest.h>

using namespace radishcross;
using http::HoldKind;
using http::MemoryAccount;
using Ids = std::vector<MemoryAccount::HoldId>;

namespace {

constexpr size_t Mebibyte = 1UL << 20;
constexpr http::MemoryLimits Limits{80 * Mebibyte, 64UL << 10};
constexpr size_t LargeLimit = 70 * Mebibyte; ///< Without the reserve.
constexpr base::Duration Second = std::chrono::seconds(1);

struct Fixture {
  base::ManualClock Time;
  MemoryAccount Account{Limits};

  MemoryAccount::HoldId hold(HoldKind kind, size_t bytes) {
    auto id = Account.open(kind, Time.now());
    CHECK(Account.claim(id, bytes, Time.now()).Granted);
    Account.progressed(id, bytes, Time.now());
    return id;
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "memory account: a single large body is granted") {
  auto id = hold(HoldKind::Arriving, LargeLimit);
  CHECK(Account.held() == LargeLimit);
  CHECK_FALSE(Account.claim(id, LargeLimit + 1, Time.now()).Granted);
  CHECK(Account.held() == 0);
}

TEST_CASE_FIXTURE(Fixture, "memory account: what stalls longest gives way") {
  auto first = hold(HoldKind::Arriving, 20 * Mebibyte);
  Time.advance(Second);
  auto second = hold(HoldKind::Arriving, 20 * Mebibyte);
  Time.advance(Second);
  auto moving = hold(HoldKind::Arriving, 20 * Mebibyte);
  Account.progressed(first, 20 * Mebibyte + 1, Time.now());
  Account.progressed(moving, 20 * Mebibyte + 1, Time.now());
  auto own = Account.open(HoldKind::Arriving, Time.now());
  auto claim = Account.claim(own, 20 * Mebibyte, Time.now());
  CHECK(claim.Granted);
  CHECK(claim.GiveWay == Ids{second});
  CHECK(Account.held() == 60 * Mebibyte);
}

TEST_CASE_FIXTURE(Fixture, "memory account: of those that move, the slowest "
                           "gives way, be it the one that asks") {
  auto slow = hold(HoldKind::Arriving, 30 * Mebibyte);
  auto fast = hold(HoldKind::Arriving, 30 * Mebibyte);
  Time.advance(Second);
  Account.progressed(slow, 31 * Mebibyte, Time.now());
  Account.progressed(fast, 40 * Mebibyte, Time.now());
  CHECK_FALSE(Account.claim(slow, 41 * Mebibyte, Time.now()).Granted);
  CHECK(Account.held() == 30 * Mebibyte);
  auto claim = Account.claim(fast, 60 * Mebibyte, Time.now());
  CHECK(claim.Granted);
  CHECK(claim.GiveWay.empty());
}

TEST_CASE_FIXTURE(Fixture, "memory account: what runs or is read from a target "
                           "never gives way") {
  auto running = hold(HoldKind::Arriving, 40 * Mebibyte);
  Account.startRunning(running);
  hold(HoldKind::Answering, 20 * Mebibyte);
  Time.advance(10 * Second);
  auto own = Account.open(HoldKind::Answering, Time.now());
  auto claim = Account.claim(own, 20 * Mebibyte, Time.now());
  CHECK_FALSE(claim.Granted);
  CHECK(claim.GiveWay.empty());
  CHECK(Account.held() == 60 * Mebibyte);
  CHECK(Account.canEverHold(10 * Mebibyte));
  CHECK_FALSE(Account.canEverHold(10 * Mebibyte + 1));
}

TEST_CASE_FIXTURE(Fixture, "memory account: a small request gets in beside "
                           "large ones, which leave it the reserve") {
  auto running = hold(HoldKind::Arriving, LargeLimit);
  Account.startRunning(running);
  auto small = Account.open(HoldKind::Arriving, Time.now());
  CHECK(Account.claim(small, Limits.SmallBytes, Time.now()).Granted);
}

TEST_CASE_FIXTURE(Fixture, "memory account: between a thousand stalled bodies "
                           "and a new one the latter gets in") {
  for (size_t i = 0; i < 1000; ++i)
    hold(HoldKind::Arriving, LargeLimit / 1000);
  Time.advance(Second);
  auto own = Account.open(HoldKind::Arriving, Time.now());
  auto claim = Account.claim(own, Mebibyte, Time.now());
  CHECK(claim.Granted);
  CHECK(claim.GiveWay.size() >= 14);
  CHECK(Account.held() <= LargeLimit);
}

TEST_CASE_FIXTURE(Fixture, "memory account: an answer that is there already is "
                           "counted, and slow readers give way to it") {
  auto slow = hold(HoldKind::Leaving, 40 * Mebibyte);
  Time.advance(Second);
  auto own = Account.open(HoldKind::Leaving, Time.now());
  auto charge = Account.charge(own, 60 * Mebibyte, Time.now());
  CHECK(charge.Granted);
  CHECK(charge.GiveWay == Ids{slow});
  CHECK(Account.charge(own, 90 * Mebibyte, Time.now()).Granted);
  CHECK(Account.held() == 90 * Mebibyte);
}

TEST_CASE_FIXTURE(Fixture, "memory account: what waits for the node itself "
                           "does not count as stalled") {
  auto paced = hold(HoldKind::Leaving, 30 * Mebibyte);
  Account.pause(paced, Time.now());
  auto slow = hold(HoldKind::Arriving, 30 * Mebibyte);
  Time.advance(2 * Second);
  Account.progressed(slow, 30 * Mebibyte + 1, Time.now());
  auto own = Account.open(HoldKind::Arriving, Time.now());
  auto claim = Account.claim(own, 20 * Mebibyte, Time.now());
  CHECK(claim.GiveWay == Ids{slow});
  Account.resume(paced, Time.now());
  Time.advance(Second);
  Account.progressed(own, 20 * Mebibyte, Time.now());
  claim = Account.claim(own, 50 * Mebibyte, Time.now());
  CHECK(claim.Granted);
  CHECK(claim.GiveWay == Ids{paced});
}

TEST_CASE_FIXTURE(Fixture, "memory account: closed holds give their bytes back "
                           "and are used again") {
  auto id = hold(HoldKind::Arriving, Mebibyte);
  Account.startRunning(id);
  Account.close(id);
  CHECK(Account.held() == 0);
  CHECK(Account.canEverHold(LargeLimit));
  CHECK(Account.open(HoldKind::Leaving, Time.now()) == id);
}

TEST_CASE(
    "connection budget: each listener keeps its reserve, the rest goes to "
    "whoever asks") {
  http::ConnectionBudget budget(10);
  auto clients = budget.add(2);
  auto nodes = budget.add(3);
  size_t n = 0;
  for (; budget.mayOpen(clients); ++n)
    budget.opened(clients);
  CHECK(n == 7);
  for (n = 0; budget.mayOpen(nodes); ++n)
    budget.opened(nodes);
  CHECK(n == 3);
  budget.closed(clients);
  CHECK(budget.mayOpen(nodes));
  CHECK(budget.mayOpen(clients));
}
