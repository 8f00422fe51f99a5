#include <LibAdmission/NodeGate.h>
#include <LibAdmission/TenantShares.h>
#include <LibBase/Random.h>
#include <LibCalls/CallFixtures.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace radishcross;
using namespace radishcross::admission;
using namespace std::chrono_literals;
using config::Rank;

namespace {

struct Sender {
  std::string Tenant; ///< Empty: none, so that nothing is shared.
  double PerSecond = 0;
  double Due = 0;
  uint64_t Sent = 0;
  uint64_t Served = 0;
  double share() const { return Sent ? double(Served) / double(Sent) : 0; }
};

/// A target of nine slots whose calls all take 100 ms.
struct SharedTarget {
  SharedTarget() { Node.targetsChanged({calls::testing::target("t", 9)}, Now); }

  void send(Sender &sender) {
    Arrival it;
    it.ServiceName = calls::testing::Lookup;
    it.TargetId = "t";
    it.CallRank = Rank::Standard;
    it.Remaining = 3s;
    it.LatencyObjective = 500ms;
    it.Tenant = sender.Tenant;
    ++sender.Sent;
    const auto answer = Node.arrive(it, Now);
    if (answer.What == GateAnswer::Kind::Refuse)
      return;
    Senders[answer.Call] = &sender;
    if (answer.What == GateAnswer::Kind::Run)
      take({answer});
  }
  void take(const std::vector<GateAnswer> &answers) {
    for (const auto &it : answers)
      if (it.What == GateAnswer::Kind::Run)
        Ends.emplace(Now + 100ms, it.Call);
  }
  void run(std::vector<Sender> &senders, int milliseconds) {
    for (int n = 0; n < milliseconds; ++n) {
      Now += 1ms;
      while (!Ends.empty() && Ends.begin()->first <= Now) {
        const auto ticket = Ends.begin()->second;
        Ends.erase(Ends.begin());
        ++Senders[ticket]->Served;
        take(Node.ended(
            ticket, calls::testing::ends(calls::AttemptEnd::Answered), Now));
      }
      if (n % 20 == 0)
        take(Node.tick(Now));
      for (auto &it : senders) {
        it.Due += it.PerSecond / 1000 * 2 * double(Source.below(1001)) / 1000;
        for (; it.Due >= 1; it.Due -= 1)
          send(it);
      }
    }
  }

  trace::NullRecorder Recorder;
  calls::Quarantine Quarantined{Recorder};
  NodeGate Node{Quarantined, Recorder};
  base::Random Source{3};
  base::TimePoint Now{100s};
  std::map<Ticket, Sender *> Senders;
  std::multimap<base::TimePoint, Ticket> Ends;
};

/// Returns the smallest share of calls served of the tenants that send little
/// to a target that one floods; it serves 90 calls a second.
double worstShare(bool isShared) {
  SharedTarget target;
  std::vector<Sender> senders{
      {"large", 500}, {"b", 8}, {"c", 8}, {"d", 8}, {"e", 8}};
  if (!isShared)
    for (auto &it : senders)
      it.Tenant.clear();
  target.run(senders, 20000);
  double worst = 1;
  uint64_t served = senders[0].Served;
  for (size_t n = 1; n < senders.size(); ++n) {
    worst = std::min(worst, senders[n].share());
    served += senders[n].Served;
  }
  MESSAGE("shared " << isShared << ": the worst gets " << worst
                    << ", the largest " << senders[0].Served << " of "
                    << served);
  // Fairness leaves no slot empty.
  CHECK(served > 90 * 20 * 0.95);
  return worst;
}

} // namespace

TEST_CASE("the tenant with most calls gives a place to one with few") {
  TenantShares shares;
  for (Ticket n = 1; n <= 6; ++n)
    shares.entered(n, "a", Rank::Standard, n > 2);
  shares.entered(7, "b", Rank::Standard, true);
  CHECK(shares.displacedBy("b", Rank::Standard) == 6U);
  CHECK(shares.displacedBy("new", Rank::Standard) == 6U);
  SUBCASE("not to itself") {
    CHECK_FALSE(shares.displacedBy("a", Rank::Standard));
  }
  SUBCASE("not to another rank") {
    CHECK_FALSE(shares.displacedBy("b", Rank::Critical));
  }
  SUBCASE("a call that runs keeps its slot") {
    for (Ticket n = 3; n <= 6; ++n)
      shares.started(n);
    CHECK_FALSE(shares.displacedBy("b", Rank::Standard));
  }
  SUBCASE("not where both have as many, or nearly") {
    for (Ticket n = 3; n <= 6; ++n)
      shares.left(n);
    shares.entered(8, "a", Rank::Standard, true);
    CHECK(shares.displacedBy("new", Rank::Standard) == 8U);
    CHECK(shares.displacedBy("b", Rank::Standard) == 8U);
    shares.entered(9, "b", Rank::Standard, true);
    CHECK_FALSE(shares.displacedBy("b", Rank::Standard));
  }
}

TEST_CASE("a tenant that floods a target starves no other of its rank") {
  CHECK(worstShare(false) < 0.5);
  CHECK(worstShare(true) > 0.8);
}

TEST_CASE("a displaced call is told at the next tick and counts no more") {
  SharedTarget target;
  std::vector<Sender> senders{{"large", 0}, {"b", 0}};
  do
    target.send(senders[0]);
  while (target.Senders.size() == senders[0].Sent);
  const auto inFlight = target.Node.inFlight();
  target.send(senders[1]);
  CHECK(target.Node.inFlight() == inFlight);
  const auto answers = target.Node.tick(target.Now);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].What == GateAnswer::Kind::Refuse);
  CHECK(answers[0].Code == base::ResultCode::Overloaded);
  CHECK(answers[0].RetryAfter > 0s);
  CHECK(target.Senders.at(answers[0].Call) == &senders[0]);
  CHECK(target.Node.tick(target.Now).empty());
}
