#include <LibCalls/CallFixtures.h>
#include <LibCalls/TargetLeases.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;

namespace {

struct LeaseBench {
  trace::NullRecorder Recorder;
  TargetLeases Leases{Recorder};
  base::LastReason Reason;

  /// Returns the granted epoch, or 0.
  uint64_t announce(uint64_t epoch, base::Duration passed,
                    const std::string &id = "t") {
    auto record = target(id);
    record.Epoch = epoch;
    const auto out = Leases.announce({record}, at(passed), Reason);
    return out ? out->Epoch : 0;
  }
};

} // namespace

TEST_CASE("a lease is renewed by heartbeats and lapses without them") {
  LeaseBench it;
  const auto epoch = it.announce(0, 0s);
  REQUIRE(epoch > 0);
  CHECK(it.announce(epoch, 2s) == epoch);
  CHECK_FALSE(it.Leases.tick(at(4999ms)));
  CHECK(it.Leases.current().size() == 1);
  CHECK(it.Leases.tick(at(5s)));
  CHECK_FALSE(it.Leases.tick(at(5s)));
  CHECK(it.Leases.current().empty());
}

TEST_CASE("a holder that was paused past its lease is refused") {
  LeaseBench it;
  const auto epoch = it.announce(0, 1s);
  // No tick has run since: the announcement itself must notice the lapse.
  CHECK(it.announce(epoch, 4s) == 0);
  CHECK(it.Reason.code() == ResultCode::LeaseLapsed);
  CHECK(it.Leases.current().empty());
  CHECK(it.Leases.tick(at(4s)));
  const auto next = it.announce(0, 5s);
  CHECK(next > epoch);
  CHECK(it.announce(epoch, 5s) == 0);
  CHECK(it.announce(next, 6s) == next);
  // A node that restarted has no memory of the epoch and grants a higher one.
  LeaseBench restarted;
  CHECK(restarted.announce(next, 7s) == 0);
  CHECK(restarted.announce(0, 7s) > next);
}

TEST_CASE("an operator's drain outlasts heartbeats and a lapse") {
  LeaseBench it;
  const auto epoch = it.announce(0, 1s);
  it.announce(0, 1s, "u");
  it.Leases.drain("t");
  CHECK(it.announce(epoch, 2s) == epoch);
  CHECK(it.Leases.current()[0].State == TargetState::Draining);
  CHECK(it.Leases.current()[1].State == TargetState::Ready);
  it.Leases.tick(at(9s));
  it.announce(0, 9s);
  CHECK(it.Leases.current()[0].State == TargetState::Draining);
  it.Leases.drainAll();
  it.announce(0, 9s, "v");
  for (const auto &record : it.Leases.current())
    CHECK(record.State == TargetState::Draining);
}

TEST_CASE("the number of targets is bounded and lapsed ones make room") {
  LeaseBench it;
  for (size_t n = 0; n < TargetLeases::MaximumTargets; ++n)
    CHECK(it.announce(0, 1s, "t" + std::to_string(n)) > 0);
  CHECK(it.announce(0, 2s, "more") == 0);
  CHECK(it.Reason.code() == ResultCode::PeerBusy);
  CHECK(it.announce(0, 4s, "more") > 0);
}
