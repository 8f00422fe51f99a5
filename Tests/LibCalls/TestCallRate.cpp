#include <LibAdmission/NodeGate.h>
#include <LibCalls/BrokerFixture.h>

#include <chrono>
#include <doctest/doctest.h>
#include <iostream>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

TEST_CASE("rate of decisions for a call at both nodes") {
  constexpr int Calls = 200'000;
  BrokerFixture it;
  std::vector<fleet::Member> members;
  members.reserve(8);
  for (int n = 0; n < 8; ++n)
    members.push_back(member("node-" + std::to_string(n)));
  it.members(members);
  trace::NullRecorder recorder;
  NodeGate gate(it.Quarantined, recorder);
  gate.limitsChanged(it.InForce);
  gate.targetsChanged({target("t")}, at(it.Now));
  int answered = 0;
  const auto started = std::chrono::steady_clock::now();
  for (int n = 0; n < Calls; ++n) {
    it.Now += 66us;
    const auto call = it.begin("/lookup");
    const auto step = it.stepOf(call);
    Arrival arrival{"",
                    step.ServiceName,
                    step.To.Target.TargetId,
                    step.CallRank,
                    step.Remaining,
                    1};
    const auto admitted = gate.arrive(arrival, at(it.Now));
    gate.ended(admitted.Call, ends(AttemptEnd::Answered), at(it.Now));
    const auto last = it.end(call, AttemptEnd::Answered);
    answered += last.Outcome == CallOutcome::Answered ? 1 : 0;
    it.Node.end(call, at(it.Now));
  }
  const std::chrono::duration<double> taken =
      std::chrono::steady_clock::now() - started;
  std::cout << "decisions of " << Calls << " calls at both nodes: "
            << static_cast<int64_t>(Calls / taken.count()) << " calls/s, "
            << taken.count() * 1e6 / Calls << " us a call\n";
  CHECK(answered == Calls);
}
