#include <LibHttp/AttemptCuts.h>

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace radishcross;
using namespace radishcross::http;
using namespace std::chrono_literals;

namespace {

struct CutsBench {
  AttemptCuts Cuts;
  std::shared_ptr<ClientWatch> Caller = std::make_shared<ClientWatch>();
  std::vector<calls::CallHandle> Asked;
  bool MayCut = false;

  void tickAt(base::Duration passed) {
    Cuts.tick(base::TimePoint{} + passed, [this](calls::CallHandle call) {
      Asked.push_back(call);
      return MayCut;
    });
  }
};

} // namespace

TEST_CASE("an attempt is asked for when its time has come, until it is cut") {
  CutsBench it;
  CuttableAttempt attempt(it.Cuts, 7, 1s, {}, it.Caller);
  int ended = 0;
  attempt.watch()->OnGone = [&ended] { ++ended; };
  it.tickAt(999ms);
  CHECK(it.Asked.empty());
  it.tickAt(1s);
  it.tickAt(1900ms);
  CHECK(it.Asked.size() == 1);
  CHECK_FALSE(attempt.wasCut());
  it.MayCut = true;
  it.tickAt(2s);
  it.tickAt(9s);
  CHECK(it.Asked == std::vector<calls::CallHandle>{7, 7});
  CHECK(attempt.wasCut());
  CHECK(attempt.watch()->Gone);
  CHECK(ended == 1);
  CHECK_FALSE(it.Caller->Gone);
}

TEST_CASE(
    "an attempt follows its caller, and one that ended is not asked for") {
  CutsBench it;
  {
    CuttableAttempt attempt(it.Cuts, 7, 1s, {}, it.Caller);
    REQUIRE(it.Caller->OnGone);
    it.Caller->OnGone();
    CHECK(attempt.watch()->Gone);
    CHECK_FALSE(attempt.wasCut());
  }
  CHECK_FALSE(it.Caller->OnGone);
  it.tickAt(1s);
  CHECK(it.Asked.empty());
}
