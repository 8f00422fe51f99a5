#include <LibAdmission/TargetGate.h>
#include <LibBalance/TimeEstimate.h>
#include <LibCalls/BrokerFixture.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

using Kind = GateAnswer::Kind;

/// The gate of one target with two slots, both in use by calls that take 50 ms.
struct FullGate {
  FullGate() {
    TargetGateSettings settings;
    settings.State = TargetState::Ready;
    settings.Slots = 2;
    settings.Connections = 120;
    Gate.configure(settings, at(0s));
    Gate.ended(arrive(-50ms).Call, AttemptEnd::Answered, at(0s));
    for (int n = 0; n < 2; ++n)
      arrive(0s);
  }
  GateAnswer arrive(base::Duration passed, bool isNested = false,
                    bool canGoElsewhere = false) {
    return Gate.arrive(++Last, Rank::Critical, 1s, 0, at(passed), 400ms,
                       isNested, {}, canGoElsewhere);
  }

  trace::NullRecorder Recorder;
  TargetGate Gate{"t", Recorder};
  Ticket Last = 0;
};

} // namespace

TEST_CASE("wait and completion are estimated from slots, work, rate and link") {
  balance::WorkAhead work;
  work.Slots = 2;
  work.Queued = 150ms;
  work.SlotTime = 50ms;
  work.LinkTime = 30ms;
  CHECK(balance::estimateTime(work).Wait == 100ms);
  CHECK(balance::estimateTime(work).Completion == 180ms);
  work.HasFreeSlot = true;
  CHECK(balance::estimateTime(work).Wait == 0ms);
  CHECK(balance::estimateTime(work).Completion == 80ms);
  work.RateWait = 40ms;
  CHECK(balance::estimateTime(work).Wait == 40ms);
}

TEST_CASE("a refusal tells the wait that was expected and the cause") {
  FullGate it;
  CHECK(it.arrive(0s).Found.ExpectedWait == 25ms);
  for (int n = 0; n < 2; ++n)
    CHECK(it.arrive(0s).What == Kind::Queued);
  const auto refused = it.arrive(0s);
  CHECK(refused.What == Kind::Refuse);
  CHECK(refused.Why == RefusalCause::Wait);
  CHECK(refused.Found.ExpectedWait == 100ms);
  const auto late = it.Gate.tick(at(300ms));
  REQUIRE(late.size() == 3);
  CHECK(late[0].Why == RefusalCause::Waited);
}

TEST_CASE("a nested call that can go elsewhere doesn't wait") {
  FullGate it;
  const auto refused = it.arrive(0s, true, true);
  CHECK(refused.What == Kind::Refuse);
  CHECK(refused.Code == ResultCode::Overloaded);
  CHECK(it.arrive(0s, true, false).What == Kind::Queued);
  // New work waits as before.
  CHECK(it.arrive(0s, false, true).What == Kind::Queued);
}

TEST_CASE("the caller's node tells whether another target can be asked") {
  BrokerFixture it;
  const auto call = it.begin("/lookup");
  CHECK(it.stepOf(call).CanGoElsewhere);
  it.end(call, AttemptEnd::RefusedNotRun, ResultCode::Overloaded);
  CHECK(it.stepOf(call).CanGoElsewhere);
  it.end(call, AttemptEnd::RefusedNotRun, ResultCode::Overloaded);
  // The third is the last.
  CHECK_FALSE(it.stepOf(call).CanGoElsewhere);
  it.end(call, AttemptEnd::Answered);
  it.members({member("n1")});
  CHECK_FALSE(it.stepOf(it.begin("/lookup")).CanGoElsewhere);
}
