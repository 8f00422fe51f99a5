#include <LibTenants/AllotmentHolder.h>
#include <LibTenants/AllotmentKeeper.h>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace radishcross;
using namespace radishcross::tenants;
using namespace std::chrono_literals;

namespace {

/// A holder with one tenant "t" and two nodes that it may ask.
struct AskingHolder {
  AskingHolder() {
    Holder.configure({{"t", 100, 100}});
    Holder.setMembers({{"a", true}, {"b", true}, {"c", false}}, Now);
    Now += AllotmentSettings{}.JoinTime;
  }
  /// Advances the clock and returns the last ask that is due.
  std::optional<AllotmentSend> poll(base::Duration wait) {
    Now += wait;
    auto sends = Holder.poll(Now);
    if (sends.empty())
      return std::nullopt;
    return sends.back();
  }
  void answer(const AllotmentSend &ask, uint32_t count) {
    AllotmentMessage out;
    out.IsAnswer = true;
    out.Group = ask.Message.Group;
    out.Session = ask.Message.Session;
    out.Sequence = ask.Message.Sequence;
    out.Stamp = ++Stamp;
    for (const auto &it : ask.Message.Needs)
      out.Grants.push_back({it.Tenant, 0, count});
    Holder.handle(ask.To, out, Now);
  }

  AllotmentHolder Holder{"a", AllotmentSettings{}, 1};
  base::TimePoint Now{50s};
  uint64_t Stamp = 1;
};

} // namespace

TEST_CASE("a node lends nothing before it has a stamp") {
  AskingHolder it;
  auto first = it.poll(0ms);
  REQUIRE(first);
  CHECK(first->Message.ShareOf == 0);
  it.answer(*first, 0);
  auto second = it.poll(20ms);
  REQUIRE(second);
  CHECK(second->To == first->To);
  CHECK(second->Message.Stamp != 0);
  // The third node isn't alive and was not seen alive.
  CHECK(second->Message.ShareOf == 2);
}

TEST_CASE("tokens lapse a lease after the ask, however late the node looks") {
  AskingHolder it;
  CHECK_FALSE(it.Holder.take("t", it.Now).IsGranted);
  auto ask = it.poll(0ms);
  REQUIRE(ask);
  it.Now += 100ms;
  it.answer(*ask, 5);
  const auto lapse = it.Now + AllotmentSettings{}.Lease - 100ms;
  CHECK(it.Holder.take("t", lapse - 1ms).IsGranted);
  SUBCASE("in stock") { CHECK_FALSE(it.Holder.take("t", lapse).IsGranted); }
  SUBCASE("an answer that came too late") {
    ask = it.poll(150ms);
    REQUIRE(ask);
    it.Now += AllotmentSettings{}.Lease;
    it.answer(*ask, 5);
    CHECK_FALSE(it.Holder.take("t", it.Now).IsGranted);
  }
}

TEST_CASE("an answer to an earlier ask grants nothing") {
  AskingHolder it;
  it.Holder.take("t", it.Now);
  auto first = it.poll(0ms);
  REQUIRE(first);
  auto second = it.poll(150ms);
  REQUIRE(second);
  it.answer(*first, 5);
  CHECK_FALSE(it.Holder.take("t", it.Now).IsGranted);
  it.answer(*second, 5);
  CHECK(it.Holder.take("t", it.Now).IsGranted);
}

TEST_CASE("a node lends its share to another keeper only once the first share "
          "has lapsed, and takes no tokens along") {
  AskingHolder it;
  auto ask = it.poll(0ms);
  REQUIRE(ask);
  const auto first = ask->To;
  it.Holder.take("t", it.Now);
  it.answer(*ask, 0);
  // What the next ask lends lapses a lease after this stamp.
  const auto stamped = it.Now;
  ask = it.poll(20ms);
  REQUIRE(ask);
  REQUIRE(ask->Message.ShareOf != 0);
  it.answer(*ask, 50);
  bool isGoneFromView = false;
  SUBCASE("gone from the view") { isGoneFromView = true; }
  SUBCASE("silent") {}
  if (isGoneFromView)
    it.Holder.setMembers({{"a", first != "a"}, {"b", first != "b"}}, it.Now);
  while (it.Now - stamped <= AllotmentSettings{}.Lease) {
    ask = it.poll(10ms);
    if (!ask || it.Now - stamped > AllotmentSettings{}.Lease)
      continue;
    CHECK(ask->To == first);
  }
  ask = it.poll(150ms);
  // A silent keeper is doubted after SilenceBound.
  const auto latest =
      stamped + AllotmentSettings{}.Lease + AllotmentSettings{}.SilenceBound;
  while (it.Now < latest && (!ask || ask->To == first))
    ask = it.poll(10ms);
  CHECK(it.Holder.keeper(allotmentGroupOf("t")) != first);
  CHECK_FALSE(it.Holder.take("t", it.Now).IsGranted);
}

TEST_CASE("of many nodes some own the allotments, also when one is lost") {
  base::TimePoint now{50s};
  std::vector<AllotmentMember> members;
  members.reserve(60);
  for (int n = 0; n < 60; ++n)
    members.push_back({"n" + std::to_string(n), true});
  std::vector<AllotmentHolder> holders;
  for (const auto &it : members) {
    holders.emplace_back(it.Id, AllotmentSettings{}, 1);
    holders.back().configure({{"t", 100, 100}});
    holders.back().setMembers(members, now);
  }
  members[17].IsAlive = false;
  for (auto &it : holders)
    it.setMembers(members, now);
  now += AllotmentSettings{}.JoinTime;
  double lent = 0;
  uint32_t owners = 0;
  for (size_t n = 0; n < holders.size(); ++n) {
    auto sends = holders[n].poll(now);
    if (sends.empty())
      continue; // Neither owns nor needs anything.
    ++owners;
    AllotmentMessage answer;
    answer.IsAnswer = true;
    answer.Group = sends[0].Message.Group;
    answer.Session = sends[0].Message.Session;
    answer.Sequence = sends[0].Message.Sequence;
    answer.Stamp = 1;
    holders[n].handle(sends[0].To, answer, now);
    sends = holders[n].poll(now + 20ms);
    REQUIRE(sends.size() == 1);
    REQUIRE(sends[0].Message.ShareOf != 0);
    lent += 1.0 / sends[0].Message.ShareOf;
  }
  CHECK(owners == AllotmentSettings{}.Owners);
  CHECK(lent > 0.99);
  CHECK(lent < 1.01);
}

TEST_CASE("groups are spread evenly over the nodes") {
  base::TimePoint now{50s};
  for (uint32_t nodes : {3U, 24U, 91U}) {
    std::vector<AllotmentMember> members;
    members.reserve(nodes);
    for (uint32_t n = 0; n < nodes; ++n)
      members.push_back({"n" + std::to_string(n), true});
    AllotmentHolder holder("n0", {}, 1);
    std::vector<TenantLimit> limits;
    limits.reserve(400);
    for (int n = 0; n < 400; ++n)
      limits.push_back({"t" + std::to_string(n), 10, 10});
    holder.configure(limits);
    holder.setMembers(members, now);
    holder.poll(now);
    std::map<std::string, uint32_t> kept;
    for (uint32_t group = 0; group < AllotmentGroups; ++group)
      ++kept[holder.keeper(group)];
    for (const auto &[id, groups] : kept)
      CHECK(groups <= (AllotmentGroups + nodes - 1) / nodes);
  }
}

TEST_CASE("a share goes to another keeper at once if the first gives it back") {
  AskingHolder it;
  auto ask = it.poll(0ms);
  REQUIRE(ask);
  const auto first = ask->To;
  it.answer(*ask, 0);
  ask = it.poll(20ms);
  REQUIRE(ask->Message.ShareOf != 0);
  it.answer(*ask, 0);
  // The keeper goes on to live, but leaves.
  it.Holder.setMembers({{"a", true, first != "a"}, {"b", true, first != "b"}},
                       it.Now);
  ask = it.poll(20ms);
  REQUIRE(ask);
  CHECK(ask->To == first);
  CHECK(ask->Message.ShareOf == 0);
  it.answer(*ask, 0);
  ask = it.poll(20ms);
  REQUIRE(ask);
  CHECK(ask->To != first);
}

TEST_CASE("a keeper that is slow to answer is asked again ever later") {
  AskingHolder it;
  REQUIRE(it.poll(0ms));
  std::vector<base::Duration> waits;
  for (auto last = it.Now; waits.size() < 4;) {
    if (!it.poll(10ms))
      continue;
    waits.push_back(it.Now - last);
    last = it.Now;
  }
  CHECK(waits == std::vector<base::Duration>{100ms, 200ms, 400ms, 400ms});
}

TEST_CASE("a refused tenant gets a later time for each request") {
  AskingHolder it;
  auto last = it.Holder.take("t", it.Now).RetryAfter;
  for (int n = 0; n < 5; ++n) {
    auto next = it.Holder.take("t", it.Now).RetryAfter;
    CHECK(next > last);
    last = next;
  }
}

TEST_CASE("needs of many tenants are split so that each ask fits a datagram") {
  AllotmentHolder holder("a", {}, 1);
  std::vector<TenantLimit> limits;
  limits.reserve(400);
  for (int n = 0; n < 400; ++n)
    limits.push_back(
        {"a-tenant-with-a-long-name-" + std::to_string(n), 10, 10});
  holder.configure(limits);
  base::TimePoint now{50s};
  holder.setMembers({{"a", true}}, now);
  for (const auto &it : limits)
    holder.take(it.Name, now);
  size_t needs = 0;
  for (const auto &it : holder.poll(now)) {
    CHECK(it.Message.Needs.size() < 25);
    needs += it.Message.Needs.size();
  }
  CHECK(needs == limits.size());
}
