#include <LibTenants/AllotmentFleet.h>

#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <vector>

using namespace radishcross;
using namespace radishcross::tenants;

namespace {

constexpr uint64_t Seeds = 200;
constexpr const char *FaultNames[] = {"kill",  "cut",  "freeze",
                                      "doubt", "join", "none"};

/// A demand of one tenant, at a few nodes.
struct Demand {
  double PerSecond = 0;
  std::vector<size_t> Nodes;
  double Due = 0;
};

void offer(AllotmentFleet &fleet, std::vector<Demand> &demands) {
  for (size_t tenant = 0; tenant < demands.size(); ++tenant) {
    auto &it = demands[tenant];
    it.Due += it.PerSecond / 1000 * 2 * fleet.Source.below(1001) / 1000;
    for (; it.Due >= 1; it.Due -= 1)
      fleet.request(tenant, it.Nodes[fleet.Source.below(it.Nodes.size())]);
  }
}

void move(AllotmentFleet &fleet, Demand &demand, size_t width) {
  demand.Nodes.clear();
  for (size_t n = 0; n < width; ++n)
    demand.Nodes.push_back(fleet.Source.below(fleet.Nodes.size()));
}

void run(AllotmentFleet &fleet, std::vector<Demand> &demands,
         int milliseconds) {
  for (int n = 0; n < milliseconds; ++n) {
    offer(fleet, demands);
    fleet.step();
  }
}

std::vector<TenantLimit> limitsFor(base::Random &source) {
  std::vector<TenantLimit> out;
  for (uint32_t n = 0; n < 4; ++n) {
    auto rate = static_cast<uint32_t>(n == 0 ? 300 + source.below(300)
                                             : 5 + source.below(80));
    out.push_back({"tenant-" + std::to_string(n), rate, rate});
  }
  return out;
}

std::vector<Demand> demandsFor(AllotmentFleet &fleet, double factor) {
  std::vector<Demand> out(fleet.Limits.size());
  for (size_t n = 0; n < out.size(); ++n) {
    out[n].PerSecond = fleet.Limits[n].RatePerSecond * factor;
    move(fleet, out[n], 1 + fleet.Source.below(6));
  }
  return out;
}

void checkBound(const AllotmentFleet &fleet, uint64_t seed) {
  for (const auto &limit : fleet.Limits) {
    auto it = fleet.Tallies.find(limit.Name);
    if (it == fleet.Tallies.end())
      continue;
    CAPTURE(seed);
    CAPTURE(limit.Name);
    CAPTURE(limit.RatePerSecond);
    CHECK(it->second.Most <= fleet.boundOf(limit));
  }
}

struct Refusals {
  uint64_t Owed = 0;
  uint64_t Refused = 0;
  uint64_t Granted = 0;
  double use() const { return Owed ? double(Granted) / double(Owed) : 0; }
  double share() const { return Owed ? double(Refused) / double(Owed) : 0; }
};

Refusals takeRefusals(AllotmentFleet &fleet) {
  Refusals out;
  for (auto &[name, it] : fleet.Tallies) {
    out.Owed += std::exchange(it.OwedRequests, 0);
    out.Refused += std::exchange(it.OwedRefused, 0);
    out.Granted += std::exchange(it.Granted, 0);
  }
  return out;
}

void add(Refusals &sum, const Refusals &it) {
  sum.Owed += it.Owed;
  sum.Refused += it.Refused;
  sum.Granted += it.Granted;
}

/// Loses the keeper of a tenant by \p lose in 20 fleets, and returns what is
/// refused in the 6 s after.
Refusals refusedAfterLossOfKeeper(void (AllotmentFleet::*lose)(size_t node)) {
  Refusals sum;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    base::Random source(seed);
    AllotmentFleet fleet(12, limitsFor(source), seed);
    auto demands = demandsFor(fleet, 0);
    run(fleet, demands, 4500);
    demands = demandsFor(fleet, 0.8);
    run(fleet, demands, 3000);
    takeRefusals(fleet);
    const auto group = allotmentGroupOf(fleet.Limits[0].Name);
    for (size_t n = 0; n < fleet.Nodes.size(); ++n)
      if (fleet.Nodes[n].Own->keeper().share(group) > 0.5) {
        (fleet.*lose)(n);
        break;
      }
    run(fleet, demands, 6000);
    add(sum, takeRefusals(fleet));
    checkBound(fleet, seed);
  }
  return sum;
}

} // namespace

TEST_CASE("a node alone grants its tenant's burst and rate, and no more") {
  Allotments own("a", {}, 1);
  base::TimePoint now{std::chrono::seconds(50)};
  own.configure({{"t", 100, 50}}, now);
  own.setMembers({{"a", true}}, now);
  uint64_t granted = 0;
  for (int n = 0; n < 20000; ++n) {
    now += std::chrono::milliseconds(1);
    granted += own.take("t", now).IsGranted;
    if (own.isUrgent() || n % 20 == 0)
      own.poll(now);
  }
  CHECK(granted > 100 * 18);
  CHECK(granted <= 100 * 20 + 50);
  CHECK(own.take("unknown", now).IsGranted);
}

TEST_CASE("a refusal says when to come back, later for each") {
  Allotments own("a", {}, 1);
  base::TimePoint now{std::chrono::seconds(50)};
  own.configure({{"t", 10, 1}}, now);
  auto first = own.take("t", now);
  auto second = own.take("t", now);
  CHECK_FALSE(first.IsGranted);
  CHECK(first.RetryAfter.count() > 0);
  CHECK(second.RetryAfter > first.RetryAfter);
}

TEST_CASE("calm demand within the allotment is hardly refused, also after "
          "jumps") {
  Refusals calm;
  Refusals jump;
  for (uint64_t seed = 0; seed < Seeds; ++seed) {
    base::Random source(seed);
    AllotmentFleet fleet(9 + source.below(12), limitsFor(source), seed);
    auto demands = demandsFor(fleet, 0);
    run(fleet, demands, 4500);
    demands = demandsFor(fleet, 0.8);
    run(fleet, demands, 3000);
    takeRefusals(fleet);
    run(fleet, demands, 3000);
    add(calm, takeRefusals(fleet));
    // All tenants come in elsewhere.
    for (auto &it : demands)
      move(fleet, it, 1 + fleet.Source.below(6));
    run(fleet, demands, 3000);
    add(jump, takeRefusals(fleet));
    checkBound(fleet, seed);
  }
  MESSAGE("refused of what is owed: calm " << calm.share() << ", jump "
                                           << jump.share());
  CHECK(calm.Owed > 100000);
  CHECK(calm.share() < 0.01);
  CHECK(jump.share() < 0.05);
}

TEST_CASE("floods, cuts, kills, freezes and doubts never pass the bound") {
  Refusals faults;
  std::map<std::string, Refusals> byKind;
  for (uint64_t seed = 0; seed < Seeds; ++seed) {
    base::Random source(seed + 1000);
    // Some have more nodes than own shares.
    auto size = seed % 8 == 0 ? 30 + source.below(20) : 9 + source.below(12);
    AllotmentFleet fleet(size, limitsFor(source), seed);
    fleet.LossPercent = source.below(10);
    auto demands = demandsFor(fleet, 0.8);
    run(fleet, demands, 4500);
    for (int round = 0; round < 3; ++round) {
      // Every tenant may flood, move or both.
      for (size_t n = 0; n < demands.size(); ++n) {
        demands[n].PerSecond =
            fleet.Limits[n].RatePerSecond * (source.below(3) == 0 ? 0.3 : 7.5);
        move(fleet, demands[n], 1 + source.below(fleet.Nodes.size()));
      }
      auto victim = source.below(fleet.Nodes.size());
      // Half of the faults hit a keeper.
      for (size_t n = 0; source.below(2) == 0 && n < fleet.Nodes.size(); ++n)
        if (fleet.Nodes[n].Own->keeper().share(0) > 0.5)
          victim = n;
      auto kind = source.below(6);
      if (kind == 0)
        fleet.kill(victim);
      if (kind == 1)
        fleet.cut(int(source.below(AllotmentFleet::Sites)));
      if (kind == 2)
        fleet.freeze(victim, true);
      if (kind == 3)
        fleet.doubt(int(victim));
      if (kind == 4)
        fleet.addNode();
      takeRefusals(fleet);
      run(fleet, demands, 1000 + int(source.below(4000)));
      fleet.freeze(victim, false);
      if (kind == 0)
        fleet.start(victim);
      fleet.cut(-1);
      fleet.doubt(-1);
      run(fleet, demands, 500);
      auto part = takeRefusals(fleet);
      add(faults, part);
      add(byKind[FaultNames[kind]], part);
    }
    checkBound(fleet, seed);
  }
  MESSAGE("in faults and floods, granted for each owed: " << faults.use());
  for (const auto &[name, sum] : byKind)
    MESSAGE(name << ": " << sum.use());
  CHECK(faults.use() > 0.8);
}

TEST_CASE("91 nodes with 82 tenants: refusals and messages") {
  base::Random source(7);
  std::vector<TenantLimit> limits;
  for (uint32_t n = 0; n < 82; ++n) {
    uint32_t rate = n < 5 ? 536 : 5 + uint32_t(source.below(30));
    limits.push_back({"tenant-" + std::to_string(n), rate, rate});
  }
  AllotmentFleet fleet(91, limits, 7);
  auto demands = demandsFor(fleet, 0);
  run(fleet, demands, 4500);
  demands = demandsFor(fleet, 0.7);
  run(fleet, demands, 2000);
  takeRefusals(fleet);
  auto before = fleet.Messages;
  fleet.Bytes.clear();
  run(fleet, demands, 3000);
  auto calm = takeRefusals(fleet);
  uint64_t most = 0;
  uint64_t sum = 0;
  for (const auto &[n, bytes] : fleet.Bytes) {
    most = std::max(most, bytes);
    sum += bytes;
  }
  MESSAGE("bytes sent and received a second: "
          << sum / 91 / 3 << " a node, " << most / 3 << " at the busiest");
  CHECK(most / 3 < 20000);
  auto perNode = double(fleet.Messages - before) / 91 / 3;
  for (auto &it : demands)
    move(fleet, it, 1 + fleet.Source.below(6));
  run(fleet, demands, 3000);
  auto jump = takeRefusals(fleet);
  checkBound(fleet, 7);
  // Every tenant floods at every node, with and without a cut.
  for (int site : {-1, 1}) {
    fleet.cut(site);
    demands = demandsFor(fleet, 7.5);
    for (auto &it : demands)
      for (size_t n = 0; n < fleet.Nodes.size(); ++n)
        it.Nodes.push_back(n);
    run(fleet, demands, 4000);
  }
  checkBound(fleet, 7);
  MESSAGE("calm " << calm.share() << ", jump " << jump.share()
                  << ", messages sent a node and second " << perNode);
  CHECK(calm.share() < 0.01);
  CHECK(jump.share() < 0.05);
}

TEST_CASE("a lower limit binds within a window") {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    AllotmentFleet fleet(12, {{"t", 400, 400}}, seed);
    std::vector<Demand> demands(1);
    demands[0].PerSecond = 1000;
    move(fleet, demands[0], 5);
    run(fleet, demands, 6000);
    fleet.configure({{"t", 40, 10}});
    run(fleet, demands, 5000);
    fleet.Tallies.clear();
    run(fleet, demands, 7000);
    checkBound(fleet, seed);
  }
}

TEST_CASE("a keeper that says that it leaves is hardly noticed") {
  auto sum = refusedAfterLossOfKeeper(&AllotmentFleet::leave);
  MESSAGE("refused of what is owed in the 6 s after: " << sum.share());
  CHECK(sum.share() < 0.05);
}

TEST_CASE("a keeper that is killed is replaced") {
  auto sum = refusedAfterLossOfKeeper(&AllotmentFleet::kill);
  MESSAGE("refused of what is owed in the 6 s after: " << sum.share());
  CHECK(sum.share() < 0.25);
}

TEST_CASE("tenants whose requests come in at all nodes are hardly refused") {
  constexpr size_t Nodes = 80;
  constexpr double RequestsPerSecond = 1340;
  std::vector<TenantLimit> limits;
  std::vector<double> weights;
  double sum = 0;
  for (uint32_t n = 0; n < 82; ++n) {
    weights.push_back(1 / std::pow(n + 1, 1.2));
    sum += weights.back();
  }
  std::vector<double> perSecond;
  for (uint32_t n = 0; n < 82; ++n) {
    perSecond.push_back(RequestsPerSecond * weights[n] / sum);
    auto rate = static_cast<uint32_t>(std::ceil(perSecond.back() * 1.6));
    limits.push_back({"tenant-" + std::to_string(n), rate, rate});
  }
  AllotmentFleet fleet(Nodes, limits, 5);
  auto demands = demandsFor(fleet, 0);
  run(fleet, demands, 6500);
  for (size_t n = 0; n < demands.size(); ++n) {
    demands[n].PerSecond = perSecond[n];
    demands[n].Nodes.clear();
    for (size_t node = 0; node < Nodes; ++node)
      demands[n].Nodes.push_back(node);
  }
  run(fleet, demands, 3000);
  auto jump = takeRefusals(fleet);
  run(fleet, demands, 1000);
  takeRefusals(fleet);
  run(fleet, demands, 6000);
  auto largest = fleet.Tallies["tenant-0"];
  MESSAGE("largest: " << largest.OwedRefused << " of " << largest.OwedRequests);
  auto calm = takeRefusals(fleet);
  MESSAGE("refused of what is owed: " << calm.share() << ", in the first 3 s "
                                      << jump.share());
  CHECK(calm.share() < 0.01);
  CHECK(jump.share() < 0.05);
  checkBound(fleet, 5);
}

TEST_CASE("tenants that ask for nearly all that is allotted are hardly "
          "refused") {
  constexpr size_t Nodes = 80;
  constexpr double RequestsPerSecond = 1830;
  constexpr double Clients = 910; // Each at one node.
  for (double part : {0.7, 0.9}) {
    std::vector<TenantLimit> limits;
    std::vector<double> weights;
    double all = 0;
    for (uint32_t n = 0; n < 82; ++n) {
      weights.push_back(1 / std::pow(n + 1, 1.2));
      all += weights.back();
    }
    for (uint32_t n = 0; n < 82; ++n) {
      auto rate = static_cast<uint32_t>(
          std::ceil(RequestsPerSecond * weights[n] / all / part));
      limits.push_back({"tenant-" + std::to_string(n), rate, rate});
    }
    AllotmentFleet fleet(Nodes, limits, 9);
    auto demands = demandsFor(fleet, 0);
    run(fleet, demands, 4500);
    for (size_t n = 0; n < demands.size(); ++n) {
      demands[n].PerSecond = RequestsPerSecond * weights[n] / all;
      move(fleet, demands[n], 1 + size_t(Clients * weights[n] / all));
    }
    run(fleet, demands, 3000);
    auto jump = takeRefusals(fleet);
    run(fleet, demands, 1000);
    takeRefusals(fleet);
    fleet.Bytes.clear();
    run(fleet, demands, 8000);
    uint64_t most = 0;
    for (const auto &[n, bytes] : fleet.Bytes)
      most = std::max(most, bytes);
    auto calm = takeRefusals(fleet);
    MESSAGE("demand " << part << " of the rate: refused of what is owed "
                      << calm.share() << ", in the first 3 s " << jump.share()
                      << ", bytes at the busiest " << most / 8);
    CHECK(jump.share() < 0.05);
    CHECK(calm.share() < 0.01);
    checkBound(fleet, 9);
  }
}
