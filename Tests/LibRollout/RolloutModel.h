#pragma once

#include <LibBase/Random.h>
#include <LibRollout/DeciderChoice.h>
#include <LibRollout/RolloutDecider.h>
#include <LibRollout/StepPlan.h>
#include <LibRollout/VersionGate.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::rollout::testing {

using namespace std::chrono_literals;
using base::Duration;
using base::TimePoint;

/// How the new version behaves.
struct Quality {
  uint32_t FailPermille = 0; ///< Of its answers.
  uint32_t SlowPermille = 0; ///< Answers that take five times as long.
  Duration BadFrom{};        ///< After the order.
  std::string OnlyRoute;     ///< Empty: all routes.
  /// Calls per second at one target, in permille of the load that it has with
  /// all calls, from which it is bad.
  uint32_t FromLoadPermille = 0;
};

struct Setup {
  size_t Nodes = 20;
  uint32_t CallsPerSecond = 600; ///< Of the service, over all nodes.
  Duration Period = 12s;
  size_t Targets = 10; ///< Of each version.
  uint64_t Seed = 1;
  Quality New;
};

/// Nodes with their gates and deciders, and a store that appends under a
/// condition. Time advances in steps of 10 ms; nothing sleeps.
class RolloutModel {
public:
  static constexpr Duration StepTime = 10ms;
  static constexpr Duration ReportInterval = 200ms;
  static constexpr Duration NoticeDelay = 100ms;
  static constexpr Duration StoreDelay = 8ms;

  struct Node {
    std::string Id;
    std::unique_ptr<VersionGate> Gate;
    std::unique_ptr<RolloutDecider> Decider;
    uint64_t Boot = 1;
    TimePoint DownUntil{};
    TimePoint FrozenUntil{};
    TimePoint CutUntil{}; ///< From all others and from the store.
    /// Sees other members than the rest and holds itself to be the decider.
    TimePoint DecidesUntil{};
    /// Events that reached it while it was frozen.
    std::vector<std::function<void()>> Late;
  };

  explicit RolloutModel(const Setup &setup) : Given(setup), Random(setup.Seed) {
    for (size_t n = 0; n < setup.Nodes; ++n) {
      Nodes.emplace_back();
      Nodes.back().Id = "n" + std::to_string(n);
      start(Nodes.back());
    }
  }

  static constexpr Bounds Limits{100, 50, 5s};

  void order(std::string version) {
    Ordered = Order{"lookup", std::move(version), Given.Period, ++Orders};
    OrderedAt = Now;
    for (auto &node : Nodes)
      tellOrder(node);
    TotalCalls = NewCalls = BadAnswers = 0;
    FiftiethBad.reset();
    LateCalls = 0;
  }

  void run(Duration length) {
    for (const auto end = Now + length; Now < end;)
      step();
  }

  Node &decider() {
    const auto ids = live();
    const auto id = deciderOf("lookup", ids);
    const auto found =
        std::find_if(Nodes.begin(), Nodes.end(),
                     [&](const Node &it) { return it.Id == id; });
    return found == Nodes.end() ? Nodes.front() : *found;
  }

  void kill(Node &node, Duration length) {
    node.DownUntil = Now + length;
    ++node.Boot;
    node.Late.clear();
    start(node);
    tellOrder(node);
  }
  void freeze(Node &node, Duration length) { node.FrozenUntil = Now + length; }
  void cut(Node &node, Duration length) { node.CutUntil = Now + length; }

  /// The states in the order in which the store took them.
  const std::vector<Progress> &states() const { return Log; }
  bool ended(Phase how) const {
    return !Log.empty() && Log.back().OrderAt == Orders &&
           Log.back().State == how;
  }
  /// The bound over all nodes together.
  bool keepsExposure() const {
    return NewCalls * 1000 <= TotalCalls * Limits.ExposurePermille +
                                  uint64_t{Limits.ExposureSlack} * 1000;
  }
  /// Every state follows from the one before it.
  bool keepsOrder() const {
    for (size_t n = 1; n < Log.size(); ++n) {
      const auto &a = Log[n - 1];
      const auto &b = Log[n];
      if (b.OrderAt < a.OrderAt)
        return false;
      if (b.OrderAt == a.OrderAt && (a.isFinal() || b.Step < a.Step))
        return false;
    }
    return true;
  }

  Setup Given;
  base::Random Random;
  TimePoint Now{1s};
  std::deque<Node> Nodes;
  uint64_t TotalCalls = 0;
  uint64_t NewCalls = 0;
  uint64_t BadAnswers = 0;
  uint64_t LateCalls = 0; ///< Later than the bound after the 50th bad answer.
  std::optional<TimePoint> FiftiethBad;
  TimePoint StoreDownUntil{};
  uint32_t LostPermille = 0;    ///< Of the store's answers.
  uint32_t RefusedPermille = 0; ///< Of the calls to the store.
  uint32_t DelayedPermille = 0; ///< Of the writes: executed 0.5 s later.
  /// Another service's states are appended this often, permille of the steps.
  uint32_t StrangePermille = 0;

private:
  bool isDown(const Node &it) const { return Now < it.DownUntil; }
  bool isFrozen(const Node &it) const { return Now < it.FrozenUntil; }
  bool isCut(const Node &it) const { return Now < it.CutUntil; }

  std::vector<std::string> live() const {
    std::vector<std::string> ids;
    for (const auto &it : Nodes)
      if (!isDown(it) && !isCut(it) && !isFrozen(it))
        ids.push_back(it.Id);
    return ids;
  }

  void start(Node &node) {
    node.Gate = std::make_unique<VersionGate>(Limits, Random.next());
    node.Decider = std::make_unique<RolloutDecider>(Limits);
  }
  void tellOrder(Node &node) {
    if (!Ordered)
      return;
    node.Gate->ordered(*Ordered);
    node.Decider->ordered(*Ordered, Now);
  }

  void later(Duration delay, std::function<void()> what) {
    Events.emplace(Now + delay, std::move(what));
  }
  /// Delivers to a node, unless it was restarted meanwhile.
  void deliver(Node &node, Duration delay, std::function<void()> what) {
    later(delay, [this, &node, boot = node.Boot, what = std::move(what)] {
      if (node.Boot != boot || isDown(node))
        return;
      if (isFrozen(node))
        node.Late.push_back(what);
      else
        what();
    });
  }

  void step() {
    Now += StepTime;
    while (!Events.empty() && Events.begin()->first <= Now) {
      auto what = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      what();
    }
    if (Random.below(1000) < StrangePermille)
      ++StrangeRecords;
    const auto ids = live();
    const auto id = deciderOf("lookup", ids);
    for (auto &node : Nodes) {
      if (isDown(node) || isFrozen(node))
        continue;
      for (auto &what : std::exchange(node.Late, {}))
        what();
      // A node that is cut off sees only itself.
      node.Decider->appointed(isCut(node) || node.Id == id ||
                              Now < node.DecidesUntil);
      node.Decider->targets(Given.Targets, Given.Targets);
      for (const auto &action : node.Decider->tick(Now))
        act(node, action);
    }
    calls();
    if (Now >= NextReport)
      reports();
  }

  void act(Node &node, const Action &action) {
    switch (action.What) {
    case Action::Kind::Read:
      return read(node);
    case Action::Kind::Write:
      return write(node, action);
    default:
      break;
    }
    for (auto &to : Nodes) {
      if (&to != &node && (isCut(to) || isCut(node)))
        continue;
      deliver(to, &to == &node ? 0ms : Duration(NoticeDelay),
              [this, &to, action] {
                if (action.What == Action::Kind::Halt)
                  to.Gate->halted(action.OrderAt);
                else
                  to.Gate->learned(action.Told, action.Age, Now);
              });
    }
  }

  bool reachesStore(const Node &node) {
    return !isCut(node) && Now >= StoreDownUntil &&
           Random.below(1000) >= RefusedPermille;
  }
  bool losesAnswer() { return Random.below(1000) < LostPermille; }

  uint64_t end() const { return Log.size() + StrangeRecords; }

  void read(Node &node) {
    ReadAnswer it;
    if (reachesStore(node) && !losesAnswer()) {
      it.Reached = true;
      it.End = end();
      if (!Log.empty())
        it.Newest = StoredProgress{Offsets.back(), Log.back()};
    }
    deliver(node, StoreDelay,
            [this, &node, it] { node.Decider->readDone(it, Now); });
  }

  WriteAnswer append(const Action &action) {
    if (action.At != end())
      return {WriteAnswer::Kind::Refused, 0};
    Offsets.push_back(end());
    Log.push_back(action.Value);
    return {WriteAnswer::Kind::Accepted, Offsets.back()};
  }

  void write(Node &node, const Action &action) {
    WriteAnswer it{WriteAnswer::Kind::Refused, 0};
    const bool isReached = reachesStore(node);
    if (isReached && Random.below(1000) < DelayedPermille) {
      later(500ms, [this, action] { append(action); });
      it.Outcome = WriteAnswer::Kind::Unknown;
    } else if (isReached) {
      it = append(action);
      if (losesAnswer())
        it = {};
    }
    deliver(node, StoreDelay,
            [this, &node, it] { node.Decider->writeDone(it, Now); });
  }

  bool isBad(const std::string &route) const {
    const auto &it = Given.New;
    if (Now - OrderedAt < it.BadFrom)
      return false;
    if (!it.OnlyRoute.empty() && it.OnlyRoute != route)
      return false;
    if (it.FromLoadPermille == 0)
      return true;
    // Load of the busiest target, from the share that the nodes hold.
    const auto share = RecentNew;
    const auto used =
        StepPlan::targetsInUse(Given.Targets, static_cast<uint32_t>(share));
    return share * Given.Targets / used >= it.FromLoadPermille;
  }

  void calls() {
    for (auto &node : Nodes) {
      if (isDown(node) || isFrozen(node))
        continue;
      // Each node gets its part of the calls in this step, at random.
      const auto rate = static_cast<double>(Given.CallsPerSecond) * 0.01 /
                        static_cast<double>(Given.Nodes);
      auto n = static_cast<uint32_t>(rate);
      if (Random.unit() < rate - n)
        ++n;
      for (uint32_t it = 0; it < n; ++it)
        call(node);
    }
  }

  void call(Node &node) {
    const auto placed = node.Gate->place(true, true, Now);
    const bool isNew = placed.Where == Placing::NewOnly;
    if (Ordered && Now - OrderedAt <= Given.Period) {
      ++TotalCalls;
      NewCalls += isNew ? 1 : 0;
    }
    if (isNew && FiftiethBad && Now - *FiftiethBad > Limits.Rollback)
      ++LateCalls;
    // Share of the last calls, permille, as a moving mean over 200.
    RecentSum += (isNew ? 1000.0 : 0.0) - RecentSum / 200;
    RecentNew = static_cast<uint64_t>(RecentSum / 200);
    const std::string route = Random.below(4) == 0 ? "pay" : "look";
    Duration latency = 10ms + Duration(Random.below(10000));
    bool failed = Random.below(1000) < 3;
    if (isNew && isBad(route)) {
      const auto roll = Random.below(1000);
      failed = failed || roll < Given.New.FailPermille;
      const bool slow =
          !failed && roll < Given.New.FailPermille + Given.New.SlowPermille;
      if (slow)
        latency *= 5;
      if ((failed || slow) && ++BadAnswers == 50)
        FiftiethBad = Now + latency;
    }
    const std::string version = isNew ? Ordered->Version : "v1";
    deliver(node, latency, [this, &node, route, version, failed, latency] {
      node.Gate->answered(route, version, failed, latency, Now);
    });
  }

  void reports() {
    NextReport = Now + ReportInterval;
    for (auto &node : Nodes) {
      if (isDown(node) || isFrozen(node))
        continue;
      const auto counts = node.Gate->report(node.Id, node.Boot);
      for (auto &to : Nodes) {
        if (&to != &node && (isCut(to) || isCut(node)))
          continue;
        deliver(to, &to == &node ? 0ms : Duration(NoticeDelay),
                [this, &to, counts] { to.Decider->counted(counts, Now); });
      }
    }
  }

  std::optional<Order> Ordered;
  uint64_t Orders = 0;
  TimePoint OrderedAt{};
  TimePoint NextReport{};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<Progress> Log;
  std::vector<uint64_t> Offsets;
  uint64_t StrangeRecords = 0;
  double RecentSum = 0;
  uint64_t RecentNew = 0;
};

} // namespace radishcross::rollout::testing
