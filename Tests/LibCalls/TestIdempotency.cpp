#include <LibBase/Hash.h>
#include <LibCalls/BrokerFixture.h>
#include <LibCalls/IdempotencyTable.h>
#include <LibCalls/KeyOwnership.h>

#include <doctest/doctest.h>
#include <optional>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::calls::testing;

namespace {

using Kind = CallStep::Kind;
using Owner = KeyOwnership::Verdict::Kind;

constexpr base::Duration Window = 1min;
constexpr base::Duration OwnershipDelay =
    Window + KeyOwnership::ConvergenceMargin;

/// Returns a key whose owner among n0, n1 and n2 is \p owner, and \p next once
/// \p owner is gone.
std::string keyOf(const std::string &owner, const std::string &next,
                  const std::string &prefix = "") {
  for (int n = 0;; ++n) {
    auto key = "key" + std::to_string(n);
    std::map<uint64_t, std::string> order;
    for (const std::string it : {"n0", "n1", "n2"})
      order[base::rendezvousWeight(prefix + key, it)] = it;
    if (order.rbegin()->second == owner && (++order.rbegin())->second == next)
      return key;
  }
}

std::string payKeyOf(const std::string &owner) {
  return keyOf(owner, owner == "n0" ? "n1" : "n0", std::string(Lookup) + "\n");
}

/// Ownership of keys as node n0 sees it.
struct OwnershipFixture {
  OwnershipFixture() { members(); }
  void members() {
    auto one = member("n1");
    one.State = First;
    Ownership.membersChanged(
        {member("n0"), one, member("n2"), member("x", "dc2")}, at(Now));
  }
  void pass(base::Duration time) {
    const auto until = Now + time;
    for (; Now < until; Now += 500ms)
      Ownership.tick(at(Now));
    Ownership.tick(at(Now));
  }
  Owner verdict(const std::string &key) {
    return Ownership.verdict(key, at(Now)).What;
  }
  KeepingRecorder Recorder;
  KeyOwnership Ownership{"n0", "dc1", Window, Recorder};
  fleet::MemberState First = fleet::MemberState::Alive;
  base::Duration Now = 100s;
};

} // namespace

TEST_CASE("an owner runs its keys once it has owned them long enough") {
  OwnershipFixture it;
  const auto own = keyOf("n0", "n1");
  CHECK(it.verdict(own) == Owner::Undetermined);
  CHECK(it.Ownership.verdict(own, at(it.Now)).RetryAfter == OwnershipDelay);
  CHECK(it.verdict(keyOf("n1", "n0")) == Owner::Other);
  it.pass(OwnershipDelay - 1s);
  CHECK(it.verdict(own) == Owner::Undetermined);
  it.pass(1s);
  CHECK(it.verdict(own) == Owner::Own);
  OwnershipFixture first;
  first.Ownership.assumeNoEarlierCalls(at(first.Now));
  CHECK(first.verdict(own) == Owner::Own);
}

TEST_CASE("an owner does not run keys that a lost member may have run") {
  OwnershipFixture it;
  it.pass(OwnershipDelay);
  const auto inherited = keyOf("n1", "n0");
  it.First = fleet::MemberState::Dead;
  it.members();
  CHECK(it.verdict(inherited) == Owner::Undetermined);
  CHECK(it.verdict(keyOf("n0", "n1")) == Owner::Own);
  it.pass(OwnershipDelay);
  CHECK(it.verdict(inherited) == Owner::Own);
  // The lost member comes back, owns the key again and decides by itself.
  it.First = fleet::MemberState::Alive;
  it.members();
  CHECK(it.verdict(inherited) == Owner::Other);
}

TEST_CASE("an owner that was paused or partitioned for long waits again") {
  OwnershipFixture it;
  it.pass(OwnershipDelay);
  const auto own = keyOf("n0", "n1");
  REQUIRE(it.verdict(own) == Owner::Own);
  bool absentTooLong = true;
  SUBCASE("a pause is detected before the first tick after it") {
    it.Now += Window / 2 + 1s;
    CHECK(it.verdict(own) == Owner::Undetermined);
    it.Ownership.tick(at(it.Now));
  }
  SUBCASE("partitioned from the majority and back") {
    it.Ownership.membersChanged({member("n0")}, at(it.Now));
    it.pass(OwnershipDelay * 2);
    CHECK(it.verdict(own) == Owner::Undetermined);
    it.members();
  }
  SUBCASE("a short absence: no successor has run its keys yet") {
    absentTooLong = false;
    it.Now += Window / 2;
    it.Ownership.membersChanged({member("n0")}, at(it.Now));
    CHECK(it.verdict(own) == Owner::Undetermined);
    it.pass(Window / 2);
    it.members();
  }
  CHECK(it.verdict(own) == (absentTooLong ? Owner::Undetermined : Owner::Own));
  it.pass(OwnershipDelay);
  CHECK(it.verdict(own) == Owner::Own);
}

TEST_CASE("a duplicate waits for the first call and gets its stored answer") {
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  const auto key = payKeyOf("n0");
  const auto first = it.pay(key);
  REQUIRE(it.stepOf(first).What == Kind::Send);
  CHECK(it.stepOf(first).StoreAnswer);
  const auto second = it.pay(key);
  CHECK(it.stepOf(second).What == Kind::Wait);
  checkNotRun(it.stepOf(it.pay(key, 2)), ResultCode::IdempotencyMismatch);
  it.Node.storeAnswer(first, "paid", at(it.Now));
  checkAnswered(it.end(first, AttemptEnd::Answered));
  REQUIRE(it.Resumed.contains(second));
  CHECK(it.Resumed[second].What == Kind::Replay);
  CHECK(it.Node.storedAnswer(second) == "paid");
  it.Node.end(first, at(it.Now));
  it.pass(Window - 1s);
  const auto third = it.pay(key, 1, true);
  CHECK(it.stepOf(third).What == Kind::Replay);
  CHECK(it.Node.storedAnswer(third) == "paid");
  it.pass(1s);
  CHECK(it.stepOf(it.pay(key)).What == Kind::Send);
}

TEST_CASE(
    "a key is unknown after a lost attempt and released after a refusal") {
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  const auto key = payKeyOf("n0");
  SUBCASE("broken") {
    const auto first = it.pay(key);
    const auto second = it.pay(key);
    it.end(first, AttemptEnd::Broken);
    checkUnknown(it.Resumed[second]);
    checkUnknown(it.stepOf(it.pay(key)));
  }
  SUBCASE("the first call was dropped, or its answer was not stored") {
    const auto first = it.pay(key);
    SUBCASE("dropped") { it.Node.end(first, at(it.Now)); }
    SUBCASE("not stored") { it.end(first, AttemptEnd::Answered); }
    checkUnknown(it.stepOf(it.pay(key)));
  }
  SUBCASE("certainly not run") {
    const auto first = it.pay(key);
    const auto second = it.pay(key);
    it.end(first, AttemptEnd::RefusedNotRun, ResultCode::DeadlineExceeded);
    checkNotRun(it.Resumed[second], ResultCode::DeadlineExceeded);
    CHECK(it.stepOf(it.pay(key)).What == Kind::Send);
  }
  SUBCASE("a waiting call keeps its own deadline") {
    it.pay(key);
    const auto second = it.pay(key);
    it.pass(5s);
    checkUnknown(it.Resumed[second]);
  }
}

TEST_CASE("a duplicate runs where the first call's client lost its key") {
  // Guards against 401 for a client whose own key is good.
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  const auto key = payKeyOf("n0");
  const auto first = it.pay(key);
  const auto second = it.pay(key);
  const auto third = it.pay(key);
  checkNotRun(it.end(first, AttemptEnd::RefusedNotRun, ResultCode::KeyUnknown),
              ResultCode::KeyUnknown);
  REQUIRE(it.Resumed.contains(second));
  CHECK(it.Resumed[second].What == Kind::Send);
  CHECK(it.Resumed[second].StoreAnswer);
  CHECK_FALSE(it.Resumed.contains(third));
  CHECK(it.stepOf(third).What == Kind::Wait);
  it.Node.end(first, at(it.Now));
  it.Node.storeAnswer(second, "paid", at(it.Now));
  checkAnswered(it.end(second, AttemptEnd::Answered));
  REQUIRE(it.Resumed.contains(third));
  CHECK(it.Resumed[third].What == Kind::Replay);
  CHECK(it.Node.storedAnswer(third) == "paid");
}

TEST_CASE("a duplicate that begins late has its own deadline") {
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  const auto key = payKeyOf("n0");
  const auto first = it.pay(key);
  const auto allowed = it.stepOf(first).AttemptTimeout;
  const auto second = it.pay(key);
  it.Now += 1s;
  it.end(first, AttemptEnd::RefusedNotRun, ResultCode::KeyUnknown);
  REQUIRE(it.Resumed.contains(second));
  CHECK(it.Resumed[second].AttemptTimeout == allowed - 1s);
}

TEST_CASE("a call with a key is forwarded to the key's owner and never run "
          "elsewhere") {
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  const auto key = payKeyOf("n1");
  const auto call = it.pay(key);
  const auto step = it.stepOf(call);
  REQUIRE(step.What == Kind::Forward);
  CHECK(step.To.Node == "n1");
  const std::pair<AttemptEnd, ResultCode> ends[] = {
      {AttemptEnd::NotSent, ResultCode::IdempotencyOwnerLost},
      {AttemptEnd::Broken, ResultCode::IdempotencyOwnerLost},
      {AttemptEnd::TimedOut, ResultCode::IdempotencyOwnerLost}};
  for (const auto &[end, code] : ends)
    checkUnknown(it.end(it.pay(key), end), code);
  checkNotRun(it.end(it.pay(key), AttemptEnd::RefusedNotRun,
                     ResultCode::IdempotencyMismatch),
              ResultCode::IdempotencyMismatch);
  checkAnswered(it.end(call, AttemptEnd::Answered));
  // A node that gets a forwarded call but is not the owner doesn't run it.
  checkUnknown(it.stepOf(it.pay(key, 1, true)),
               ResultCode::IdempotencyOwnerLost);
}

TEST_CASE("the table is bounded in keys and bytes and removes no key early") {
  trace::NullRecorder recorder;
  IdempotencyTable table(Window, recorder);
  const std::string answer(IdempotencyTable::MaximumAnswerBytes, 'a');
  const size_t kept = IdempotencyTable::MaximumBytes / answer.size();
  for (size_t n = 0; n < IdempotencyTable::MaximumKeys; ++n) {
    const auto key = std::to_string(n);
    CHECK(table.begin(key, 1, n, at(0s)) == KeyVerdict::Run);
    table.finished(key, CallOutcome::Answered, ResultCode::Ok, answer, at(0s));
  }
  CHECK(table.bytes() <= IdempotencyTable::MaximumBytes);
  CHECK(table.begin("more", 1, 1, at(1s)) == KeyVerdict::Full);
  CHECK(table.begin("0", 1, 1, at(1s)) == KeyVerdict::Unknown);
  const auto last = std::to_string(IdempotencyTable::MaximumKeys - 1);
  CHECK(table.begin(last, 1, 1, at(1s)) == KeyVerdict::Replay);
  const auto first = std::to_string(IdempotencyTable::MaximumKeys - kept);
  CHECK(table.begin(first, 1, 1, at(1s)) == KeyVerdict::Replay);
  table.tick(at(Window));
  CHECK(table.keys() == 0);
  CHECK(table.bytes() == 0);
  CHECK(table.begin("big", 1, 1, at(Window)) == KeyVerdict::Run);
  table.finished("big", CallOutcome::Answered, ResultCode::Ok, answer + "a",
                 at(Window));
  CHECK(table.begin("big", 1, 1, at(Window)) == KeyVerdict::Unknown);
}

TEST_CASE("two callers with one idempotency key both run") {
  // Guards against one caller that gets the answer of another's payment.
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  CallRequest request;
  request.IdempotencyKey = payKeyOf("n0");
  for (const char *caller : {"desk", "till"}) {
    request.CallerService = caller;
    CHECK(it.stepOf(it.begin("/pay", request)).What == Kind::Send);
  }
  CHECK(it.stepOf(it.begin("/pay", request)).What == Kind::Wait);
}

TEST_CASE("an idempotency key used again with another host is refused") {
  // Guards against the answer of a request to another route.
  BrokerFixture it;
  it.Node.assumeNoEarlierCalls(at(it.Now));
  CallRequest request;
  request.IdempotencyKey = payKeyOf("n0");
  request.Host = "a.example";
  CHECK(it.stepOf(it.begin("/pay", request)).What == Kind::Send);
  request.Host = "b.example";
  checkNotRun(it.stepOf(it.begin("/pay", request)),
              ResultCode::IdempotencyMismatch);
}
