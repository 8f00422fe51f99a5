#pragma once

#include <LibFleet/FakeMesh.h>
#include <LibFleet/UpdateSize.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace radishcross::fleet {

/// A rolling restart: all nodes of four data centres drain, leave and start
/// again, a few at a time. Measures how long peers see a draining node's target
/// as ready.
class RollingStops : public FakeMesh {
public:
  static constexpr size_t DataCentres = 4;
  static constexpr size_t StopsAtOnce = 4;
  static constexpr std::chrono::milliseconds StopSpacing{600};
  static constexpr std::chrono::milliseconds DrainTime{4500};
  static constexpr std::chrono::milliseconds DownTime{800};

  RollingStops(uint64_t seed, size_t count) : FakeMesh(seed), Order(count) {
    LossPercent = 1;
    for (size_t n = 0; n < count; ++n) {
      Order[n] = n;
      start(n);
      run(std::chrono::milliseconds(20));
    }
    base::Random rng(seed);
    for (size_t n = count; n > 1; --n)
      std::swap(Order[n - 1], Order[rng.below(n)]);
    run(std::chrono::seconds(10));
  }

  /// Stops and starts all nodes once.
  void restartAll() {
    std::fill(std::begin(Bytes), std::end(Bytes), 0);
    auto begin = Now;
    for (size_t n = 0; n < Order.size(); ++n)
      at(begin + StopSpacing * (n / StopsAtOnce),
         [this, id = Order[n]] { beginDrain(id); });
    auto last = StopSpacing * (Order.size() / StopsAtOnce);
    run(last + DrainTime + DownTime + std::chrono::seconds(2));
    TimeTaken = Now - begin;
  }

  /// Returns, sorted, how long each live peer saw each draining node's target
  /// as ready, counted from the start of the drain or of the peer, whichever is
  /// later.
  std::vector<base::Duration> delays() const {
    std::vector<base::Duration> out;
    for (const auto &[pair, it] : Delays)
      out.push_back(it);
    std::sort(out.begin(), out.end());
    return out;
  }

  uint64_t Bytes[2] = {}; ///< Bytes within data centres, and between them.
  base::Duration TimeTaken{};

protected:
  void step() override {
    while (!Plan.empty() && Plan.begin()->first <= Now) {
      auto action = std::move(Plan.begin()->second);
      Plan.erase(Plan.begin());
      action();
    }
    for (const auto &[n, since] : DrainSince)
      for (const auto &[peer, node] : Nodes)
        measure(n, since, peer, node);
  }

  void arrived(size_t from, size_t to, const GossipMessage &message) override {
    constexpr size_t HeaderBytes = 150;
    count(from, to, HeaderBytes, message.Updates);
  }

  void pulled(size_t from, size_t to,
              const std::vector<Member> &records) override {
    constexpr size_t ExchangeBytes = 600;
    std::vector<MemberUpdate> updates;
    updates.reserve(records.size());
    for (const auto &it : records)
      updates.push_back({it, true});
    count(from, to, ExchangeBytes, updates);
  }

private:
  static std::string dataCentreOf(size_t n) {
    return "dc-" + std::to_string(n % DataCentres);
  }

  void at(base::TimePoint when, std::function<void()> action) {
    Plan.emplace(when, std::move(action));
  }

  void count(size_t from, size_t to, size_t bytes,
             const std::vector<MemberUpdate> &updates) {
    for (const auto &it : updates)
      bytes += estimatedBytes(it);
    Bytes[from % DataCentres == to % DataCentres ? 0 : 1] += bytes;
  }

  void start(size_t n) {
    auto incarnation = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch());
    addAlone(n, dataCentreOf(n), incarnation.count());
    std::vector<base::Address> directory;
    for (size_t it = 0; it < Order.size(); ++it)
      directory.push_back(fakeAddress(it));
    Nodes.at(n).addSeeds(directory);
    Nodes.at(n).setTargets({target(TargetState::Starting)}, Now);
    Started[n] = Now;
    DrainSince.erase(n);
    at(Now + std::chrono::milliseconds(200), [this, n] {
      Nodes.at(n).setExceptions({});
      setTarget(n, TargetState::Ready);
    });
  }

  static TargetRecord target(TargetState state) {
    TargetRecord target;
    target.Service = "external/lookup";
    target.TargetId = "i-43d2c80266";
    target.State = state;
    return target;
  }

  void setTarget(size_t n, TargetState state) {
    auto &node = Nodes.at(n);
    node.setTargets({target(state)}, Now);
    MembershipActions announcement;
    announcement.Sends = node.leaveUpdates(Now);
    post(n, std::move(announcement));
  }

  void beginDrain(size_t n) {
    setTarget(n, TargetState::Draining);
    DrainSince[n] = Now;
    at(Now + DrainTime, [this, n] {
      MembershipActions last;
      last.Sends = Nodes.at(n).leave(Now);
      post(n, std::move(last));
    });
    at(Now + DrainTime + LeaveTime, [this, n] { Down.insert(n); });
    at(Now + DrainTime + DownTime, [this, n] { start(n); });
  }

  void measure(size_t n, base::TimePoint since, size_t peer,
               const Membership &node) {
    if (peer == n || Down.contains(peer))
      return;
    auto &delay = Delays[{n, peer}];
    const auto *held = node.table().find(Nodes.at(n).self().Identity.Id);
    if (!held || !isLive(*held) || held->Targets.empty() ||
        held->Targets[0].State != TargetState::Ready)
      return;
    delay = std::max(delay, Now - std::max(since, Started.at(peer)));
  }

  static constexpr std::chrono::milliseconds LeaveTime{100};
  std::vector<size_t> Order;
  std::multimap<base::TimePoint, std::function<void()>> Plan;
  std::map<size_t, base::TimePoint> Started;
  std::map<size_t, base::TimePoint> DrainSince;
  std::map<std::pair<size_t, size_t>, base::Duration> Delays;
};

} // namespace radishcross::fleet
