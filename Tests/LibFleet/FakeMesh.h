#pragma once

#include <LibBase/Random.h>
#include <LibFleet/Membership.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::fleet {

inline base::Address fakeAddress(size_t n) {
  return {"127.0.0.1", static_cast<uint16_t>(20000 + n)};
}

inline Member fakeMember(size_t n, const std::string &dataCentre,
                         uint64_t incarnation = 1000) {
  Member member;
  member.Identity.Id = "node-" + std::to_string(n);
  member.Identity.DataCentre = dataCentre;
  member.Identity.Gossip = fakeAddress(n);
  member.Identity.Peer = fakeAddress(n + 10000);
  member.Incarnation = incarnation;
  member.Revision = incarnation;
  return member;
}

/// A simulated network between the Membership objects of several nodes.
/// Delivers datagrams and pulls with seeded packet loss and partitions, on a
/// clock that the test advances.
class FakeMesh {
public:
  explicit FakeMesh(uint64_t seed) : Seed(seed), Rng(seed) {}
  virtual ~FakeMesh() = default;
  FakeMesh(const FakeMesh &) = delete;
  FakeMesh &operator=(const FakeMesh &) = delete;

  void add(size_t n, const std::string &dataCentre,
           uint64_t incarnation = 1000) {
    Nodes.insert_or_assign(n, Membership(fakeMember(n, dataCentre, incarnation),
                                         {fakeAddress(0), fakeAddress(1)}, {},
                                         Seed + n));
    Down.erase(n);
  }

  /// Starts a node without any seed address.
  void addAlone(size_t n, const std::string &dataCentre, uint64_t incarnation) {
    Nodes.insert_or_assign(n, Membership(fakeMember(n, dataCentre, incarnation),
                                         {}, {}, Seed + n));
    Down.erase(n);
  }

  /// Runs all nodes that are up for \p time.
  void run(base::Duration time) {
    for (auto end = Now + time; Now < end; Now += Step) {
      for (auto &[n, node] : Nodes)
        if (!Down.contains(n))
          post(n, node.tick(Now));
      step();
      deliver();
    }
  }

  /// Runs until \p holds or \p limit has passed; returns the time taken.
  template <typename Condition>
  base::Duration runUntil(Condition holds, base::Duration limit) {
    auto begin = Now;
    while (!holds() && Now < begin + limit)
      run(Step);
    return Now - begin;
  }

  void post(size_t from, MembershipActions actions) {
    for (auto &it : actions.Sends)
      InFlight.push_back({from, std::move(it)});
    if (!actions.PullFrom)
      return;
    for (auto &[n, node] : Nodes)
      if (node.self().Identity.Id == *actions.PullFrom && passes(from, n)) {
        auto records = node.table().differing(Nodes.at(from).table().buckets());
        pulled(from, n, records);
        Nodes.at(from).mergePulled(records, Now);
      }
  }

  /// Partitions the nodes for which \p isInside is true from the others.
  template <typename Condition> void partition(Condition isInside) {
    for (const auto &[a, first] : Nodes)
      for (const auto &[b, second] : Nodes)
        if (isInside(a) != isInside(b))
          Cut.insert({a, b});
  }

  /// Returns how many live nodes see \p id in \p state.
  size_t seenAs(const NodeId &id, MemberState state) const {
    size_t count = 0;
    for (const auto &[n, node] : Nodes) {
      const auto *member = node.table().find(id);
      count += !Down.contains(n) && member && member->State == state ? 1 : 0;
    }
    return count;
  }

  std::map<size_t, Membership> Nodes;
  std::set<size_t> Down;
  std::set<std::pair<size_t, size_t>> Cut; ///< Pairs of sender and receiver.
  uint64_t LossPercent = 0;
  base::TimePoint Now{std::chrono::seconds(100)};

protected:
  static constexpr std::chrono::milliseconds Step{10};

  /// Called in each step, after the nodes' ticks.
  virtual void step() {}

  /// Called for each datagram before it is lost or delivered.
  virtual void sent(const GossipMessage & /*message*/) {}

  /// Called for each datagram delivered.
  virtual void arrived(size_t /*from*/, size_t /*to*/,
                       const GossipMessage & /*message*/) {}

  /// Called with the members that \p from pulls from \p to's table.
  virtual void pulled(size_t /*from*/, size_t /*to*/,
                      const std::vector<Member> & /*records*/) {}

  bool passes(size_t from, size_t to) const {
    return !Down.contains(to) && !Down.contains(from) &&
           !Cut.contains({from, to});
  }

private:
  struct InFlightDatagram {
    size_t From;
    GossipSend Sent;
  };

  /// Delivers the datagrams of the last step.
  void deliver() {
    auto batch = std::exchange(InFlight, {});
    for (auto &it : batch) {
      sent(it.Sent.Message);
      size_t to = it.Sent.To.Port - 20000;
      if (!Nodes.contains(to) || !passes(it.From, to) ||
          Rng.below(100) < LossPercent)
        continue;
      const auto &sender = Nodes.at(it.From).self().Identity;
      post(to, Nodes.at(to).handleDatagram({sender.Id, sender.Gossip},
                                           it.Sent.Message, Now));
      arrived(it.From, to, it.Sent.Message);
    }
  }

  uint64_t Seed;
  base::Random Rng;
  std::deque<InFlightDatagram> InFlight;
};

} // namespace radishcross::fleet
