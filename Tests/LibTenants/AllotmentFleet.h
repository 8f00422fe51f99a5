#pragma once

#include <LibBase/Random.h>
#include <LibTenants/Allotments.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishcross::tenants {

/// Nodes with the real modules, a manual clock, and messages that are late or
/// lost.
class AllotmentFleet {
public:
  struct TestNode {
    std::unique_ptr<Allotments> Own;
    uint32_t Site = 0;
    bool IsRunning = true;
    bool IsFrozen = false;
    bool IsLeaving = false;
    base::TimePoint ViewDue = base::TimePoint::max();
  };
  struct Tally {
    std::deque<base::TimePoint> Runs;
    uint64_t Most = 0;
    double Owed = 0; ///< Of the tenant's exact bucket.
    base::TimePoint OwedAt{};
    uint64_t OwedRequests = 0;
    uint64_t OwedRefused = 0;
    uint64_t Granted = 0;
  };

  AllotmentFleet(uint32_t nodes, std::vector<TenantLimit> limits, uint64_t seed)
      : Source(seed), Limits(std::move(limits)) {
    for (uint32_t n = 0; n < nodes; ++n)
      addNode();
    for (auto &it : Nodes)
      it.ViewDue = Now;
  }

  static std::string nameOf(size_t n) { return "node-" + std::to_string(n); }

  void addNode() {
    Nodes.push_back({});
    auto &it = Nodes.back();
    it.Site = static_cast<uint32_t>(Nodes.size() - 1) % Sites;
    start(Nodes.size() - 1);
    changeViews();
  }
  void start(size_t n) {
    auto &it = Nodes[n];
    it.Own = std::make_unique<Allotments>(
        nameOf(n), Settings,
        static_cast<uint64_t>(Now.time_since_epoch().count()));
    it.Own->configure(Limits, Now);
    it.IsRunning = true;
    changeViews();
  }
  void kill(size_t n) {
    Nodes[n].IsRunning = false;
    changeViews();
  }
  /// Says of \p n that it is leaving.
  void leave(size_t n) {
    Nodes[n].IsLeaving = true;
    changeViews();
  }
  void freeze(size_t n, bool isFrozen) { Nodes[n].IsFrozen = isFrozen; }
  void cut(int site) {
    CutSite = site;
    changeViews();
  }
  /// Makes half of the nodes take \p n for dead.
  void doubt(int n) {
    Doubted = n;
    changeViews();
  }
  void configure(std::vector<TenantLimit> limits) {
    Limits = std::move(limits);
    for (auto &it : Nodes)
      it.Own->configure(Limits, Now);
  }

  /// Lets one request of a tenant come in at node \p n.
  void request(size_t tenant, size_t n) {
    const auto &limit = Limits[tenant];
    auto &node = Nodes[n];
    if (!node.IsRunning || node.IsFrozen)
      return;
    auto &tally = Tallies[limit.Name];
    auto verdict = node.Own->take(limit.Name, Now);
    double past = std::chrono::duration<double>(Now - tally.OwedAt).count();
    tally.OwedAt = Now;
    tally.Owed =
        std::min<double>(limit.Burst, tally.Owed + past * limit.RatePerSecond);
    bool isOwed = tally.Owed >= 1;
    if (isOwed)
      tally.Owed -= 1;
    tally.OwedRequests += isOwed;
    settle({n, limit.Name, isOwed, Now}, verdict);
  }

  /// Advances the clock by one millisecond.
  void step() {
    Now += std::chrono::milliseconds(1);
    ++Steps;
    for (size_t n = 0; n < Nodes.size(); ++n) {
      auto &it = Nodes[n];
      if (!it.IsRunning || it.IsFrozen)
        continue;
      if (Now >= it.ViewDue)
        updateView(n);
      if ((Steps + n * 7) % 20 == 0)
        poll(n);
    }
    deliver();
    giveUpWaits();
  }

  /// The most requests in a window that the bound allows.
  double boundOf(const TenantLimit &limit) const {
    return (limit.RatePerSecond * 5.0 + limit.Burst) * 1.1 + 20;
  }

  base::Random Source;
  std::vector<TenantLimit> Limits;
  AllotmentSettings Settings;
  std::vector<TestNode> Nodes;
  std::map<std::string, Tally> Tallies;
  base::TimePoint Now{std::chrono::seconds(100)};
  uint64_t Messages = 0;
  std::map<size_t, uint64_t> Bytes; ///< Sent and received, by node.
  uint64_t LossPercent = 2;
  static constexpr uint32_t Sites = 3;

private:
  /// A request that waits for tokens, as the calls' engine lets it.
  struct Asking {
    size_t Node = 0;
    std::string Tenant;
    bool IsOwed = false;
    base::TimePoint Since{};

    bool isLate(base::TimePoint now) const {
      return now - Since >= AllotmentPort::AskTime;
    }
  };

  void settle(const Asking &it, const AllotmentVerdict &verdict) {
    auto &tally = Tallies[it.Tenant];
    if (verdict.IsGranted) {
      ++tally.Granted;
      tally.Runs.push_back(Now);
      while (tally.Runs.front() <= Now - Settings.Window)
        tally.Runs.pop_front();
      tally.Most = std::max<uint64_t>(tally.Most, tally.Runs.size());
    } else if (verdict.IsAsking && !it.isLate(Now)) {
      Waiting[it.Node].push_back(it);
    } else {
      tally.OwedRefused += it.IsOwed;
    }
    if (Nodes[it.Node].Own->isUrgent())
      poll(it.Node);
  }

  void poll(size_t n) {
    sendAll(n, Nodes[n].Own->poll(Now));
    wake(n);
  }

  /// Lets the requests look again for which an answer has come.
  void wake(size_t n) {
    const auto answered = Nodes[n].Own->takeAnswered();
    if (!answered.empty())
      lookAgain(n, [&](const Asking &it) {
        return std::find(answered.begin(), answered.end(), it.Tenant) !=
               answered.end();
      });
  }

  template <typename Choice> void lookAgain(size_t n, Choice isChosen) {
    auto &waiting = Waiting[n];
    std::deque<Asking> chosen;
    std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(chosen),
                 isChosen);
    std::erase_if(waiting, isChosen);
    for (const auto &it : chosen)
      settle(it, Nodes[n].Own->retake(it.Tenant, Now));
  }

  void giveUpWaits() {
    for (auto &[n, waiting] : Waiting) {
      if (!Nodes[n].IsRunning) // Its clients see the connections end.
        waiting.clear();
      if (!Nodes[n].IsFrozen && !waiting.empty() && waiting.front().isLate(Now))
        lookAgain(n, [&](const Asking &it) { return it.isLate(Now); });
    }
  }

  struct Flying {
    size_t To = 0;
    size_t From = 0;
    AllotmentMessage Message;
  };

  bool isCut(size_t a, size_t b) const {
    return CutSite >= 0 && (Nodes[a].Site == uint32_t(CutSite)) !=
                               (Nodes[b].Site == uint32_t(CutSite));
  }
  /// Views change between 0.5 and 3 s later.
  void changeViews() {
    for (auto &it : Nodes)
      it.ViewDue = Now + std::chrono::milliseconds(500 + Source.below(2500));
  }
  void updateView(size_t n) {
    Nodes[n].ViewDue = base::TimePoint::max();
    std::vector<AllotmentMember> view;
    for (size_t m = 0; m < Nodes.size(); ++m) {
      bool isDoubted = Doubted == int(m) && n % 2 == 0 && n != m;
      view.push_back({nameOf(m),
                      Nodes[m].IsRunning && !isCut(n, m) && !isDoubted,
                      !Nodes[m].IsLeaving});
    }
    Nodes[n].Own->setMembers(view, Now);
  }
  void sendAll(size_t from, std::vector<AllotmentSend> sends) {
    for (auto &it : sends)
      send(from, std::move(it));
  }
  void send(size_t from, AllotmentSend it) {
    ++Messages;
    // As TestCodecs shows, with the headers of IP and UDP.
    auto bytes =
        111 + 28 * (it.Message.Needs.size() + it.Message.Grants.size());
    Bytes[from] += bytes;
    Bytes[std::stoul(it.To.substr(5))] += bytes;
    size_t to = std::stoul(it.To.substr(5));
    if (isCut(from, to) || Source.below(100) < LossPercent)
      return;
    auto delay = 1 + Source.below(3);
    if (Nodes[from].Site != Nodes[to].Site)
      delay += 10 + Source.below(20);
    if (Source.below(200) == 0)
      delay += Source.below(1500);
    InFlight.emplace(Now + std::chrono::milliseconds(delay),
                     Flying{to, from, std::move(it.Message)});
  }
  void deliver() {
    std::vector<Flying> held;
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      auto it = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      auto &node = Nodes[it.To];
      if (!node.IsRunning)
        continue;
      if (node.IsFrozen) {
        held.push_back(std::move(it));
        continue;
      }
      auto answer = node.Own->handle(nameOf(it.From), it.Message, Now);
      if (answer)
        send(it.To, std::move(*answer));
      wake(it.To);
    }
    // A frozen node finds its datagrams when it wakes.
    for (auto &it : held)
      InFlight.emplace(Now + std::chrono::milliseconds(1), std::move(it));
  }

  uint64_t Steps = 0;
  int CutSite = -1;
  int Doubted = -1;
  std::multimap<base::TimePoint, Flying> InFlight;
  std::map<size_t, std::deque<Asking>> Waiting; ///< By node.
};

} // namespace radishcross::tenants
