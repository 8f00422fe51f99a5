#include <LibAdmission/CrashDetector.h>

#include <LibAdmission/NodeGate.h>
#include <LibCalls/CallFixtures.h>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

using Fingerprints = std::vector<uint64_t>;

/// A gate whose target breaks the calls of one request.
struct CrashFixture {
  CrashFixture() { list(); }
  void list(TargetState state = TargetState::Ready) {
    auto record = target("t", 2, state);
    record.Epoch = Epoch;
    Node.targetsChanged({record}, at(Now));
  }
  void restart() {
    ++Epoch;
    list();
  }
  void call(AttemptEnd how, uint64_t fingerprint) {
    Now += 100ms;
    Arrival it;
    it.ServiceName = Lookup;
    it.TargetId = "t";
    it.Remaining = 1s;
    it.Fingerprint = fingerprint;
    Node.ended(Node.arrive(it, at(Now)).Call, ends(how), at(Now));
  }
  void breakCall() { call(AttemptEnd::Broken, 66); }
  bool isBlocked() { return Quarantined.blocks(66, Lookup, at(Now)); }

  uint64_t Epoch = 1;
  base::Duration Now = 1min;
  trace::NullRecorder Recorder;
  Quarantine Quarantined{Recorder};
  NodeGate Node{Quarantined, Recorder};
};

} // namespace

TEST_CASE("broken calls at a target that stays alive make no request suspect") {
  for (const bool answersOthers : {true, false}) {
    CrashFixture it;
    for (int n = 0; n < 100; ++n) {
      it.breakCall();
      it.Now += answersOthers ? 0s : 2s;
      if (answersOthers)
        it.call(AttemptEnd::Answered, 1);
    }
    CHECK_FALSE(it.isBlocked());
    CHECK(it.Quarantined.takeReports().empty());
  }
}

TEST_CASE("broken calls at a leaving target make no request suspect") {
  CrashFixture it;
  for (int n = 0; n < 3; ++n) {
    it.breakCall();
    it.list(TargetState::Draining);
    it.call(AttemptEnd::NotSent, 1);
    it.Now += 2s;
    it.restart();
  }
  CHECK_FALSE(it.isBlocked());
}

TEST_CASE("a request that crashes a second process is quarantined") {
  using Sign = void (*)(CrashFixture &);
  const Sign signs[] = {[](CrashFixture &it) {
                          it.call(AttemptEnd::NotSent, 1);
                          it.call(AttemptEnd::NotSent, 1);
                        },
                        [](CrashFixture &it) {
                          it.Now += 3s; // Its lease lapses.
                          it.Node.targetsChanged({}, at(it.Now));
                        },
                        [](CrashFixture &it) { it.restart(); }};
  for (const auto sign : signs) {
    CrashFixture it;
    it.breakCall();
    sign(it);
    it.Now += 2s;
    it.restart();
    CHECK_FALSE(it.isBlocked());
    it.breakCall();
    sign(it);
    CHECK(it.isBlocked());
  }
}

TEST_CASE("one process counts as crashed only once") {
  CrashDetector it;
  CHECK(it.callBroken({66, 7}, 2, at(0s)).empty());
  CHECK(it.callBroken({7}, 3, at(1ms)).empty());
  CHECK(it.unreachable(4, at(2ms)) == Fingerprints{66, 7});
  CHECK(it.callBroken({7}, 5, at(3ms)).empty());
  CHECK(it.unreachable(6, at(2s)).empty());
  CHECK(it.callBroken({7}, 7, at(2s)).empty());
  CHECK(it.processGone(at(3s)).empty());
  // First an answer that was in transit, then one of the restarted target.
  it.answered(2);
  CHECK(it.callBroken({7}, 8, at(4s)).empty());
  CHECK(it.unreachable(9, at(4s)).empty());
  it.answered(10);
  CHECK(it.callBroken({7}, 11, at(5s)).empty());
  CHECK(it.unreachable(12, at(5s)) == Fingerprints{7});
}

TEST_CASE("a refused connection may be reported before the broken call") {
  CrashDetector it;
  CHECK(it.unreachable(2, at(0s)).empty());
  CHECK(it.callBroken({66}, 2, at(1ms)) == Fingerprints{66});
  it.reset();
  CHECK(it.unreachable(3, at(5s)).empty());
  CHECK(it.callBroken({66}, 4, at(7s)).empty());
}

TEST_CASE("a broken call that was not confirmed as a crash is forgotten") {
  CrashDetector it;
  CHECK(it.callBroken({66}, 1, at(0s)).empty());
  CHECK(it.processGone(at(CrashDetector::Lifetime)).empty());
  CHECK(it.callBroken({7}, 2, at(20s)).empty());
  CHECK(it.callBroken({8}, 3, at(21s)).empty());
  CHECK(it.processGone(at(21s)) == Fingerprints{8});
}
