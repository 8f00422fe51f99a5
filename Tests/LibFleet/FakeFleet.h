#pragma once

#include <LibFleet/ActivationRule.h>
#include <LibFleet/FakeMesh.h>
#include <LibFleet/RecordStore.h>
#include <LibFleet/Recovery.h>
#include <LibFleet/Replicator.h>
#include <LibFleet/TransferGate.h>

#include <functional>

namespace radishcross::fleet {

/// Adds records to the fake mesh: the platform's log, and on each node the
/// replicator, recovery and the activation rule. A pull takes one step each
/// way.
class FakeFleet : public FakeMesh {
public:
  struct Holder {
    Replicator Replication;
    Recovery Recovering;
    ActivationRule Rule;
    RecordStore Records;
    TransferGate Gate;
    log::Offset Held = 0;
    log::Offset InForce = 0;
    bool PullPending = false;
  };

  FakeFleet(uint64_t seed, uint32_t holdersBeforeForce = 2)
      : FakeMesh(seed), Holders(holdersBeforeForce) {}

  void start(size_t n, const std::string &dataCentre,
             uint64_t incarnation = 1000) {
    add(n, dataCentre, incarnation);
    base::LastReason reason;
    NodeId id = "node-" + std::to_string(n);
    Held.erase(n);
    Held.emplace(n, Holder{Replicator({}, n * 7 + incarnation),
                           *Recovery::create({}, Now, reason),
                           ActivationRule(id, dataCentre, {.Holders = Holders}),
                           {},
                           {}});
  }

  void append(size_t records = 1) { LogEnd += records; }

  /// Returns the number of live nodes that serve at least \p offset.
  size_t servingAt(log::Offset offset) const {
    size_t count = 0;
    for (const auto &[n, it] : Held)
      count +=
          !Down.contains(n) && it.Recovering.isServing() && it.InForce >= offset
              ? 1
              : 0;
    return count;
  }

  std::map<size_t, Holder> Held;
  std::map<size_t, log::Offset>
      EverServed; ///< Highest offset served by each node, across restarts.
  log::Offset LogFirst = 1;
  log::Offset LogEnd = 1;
  bool PlatformUp = true;
  std::set<size_t> CutFromPlatform;
  uint64_t Reads = 0;
  uint64_t StepsBack = 0;
  uint64_t BusyAnswers = 0;
  uint64_t StatesServed = 0;
  base::Duration StateTime = std::chrono::milliseconds(50);

protected:
  void step() override {
    auto due = std::exchange(Later, {});
    for (auto &[at, action] : due) {
      if (at > Now)
        Later.emplace_back(at, std::move(action));
      else
        action();
    }
    for (auto &[n, it] : Held) {
      if (Down.contains(n))
        continue;
      refresh(n, it);
      replicate(n, it);
    }
  }

private:
  void refresh(size_t n, Holder &it) {
    auto &node = Nodes.at(n);
    auto allowed = std::min(it.Rule.allowed(node.table(), Now), it.Held);
    it.InForce = std::max(it.InForce, allowed);
    const auto &self = node.self().Identity;
    it.Recovering.reevaluate(
        viewForRecovery(node.table(), self.Id, self.DataCentre, it.InForce),
        Now);
    bool serves = it.Recovering.isServing();
    node.setDigest({it.Held, it.InForce, it.InForce, 0, serves, {}});
    if (!serves)
      return;
    auto &ever = EverServed[n];
    StepsBack += it.InForce < ever ? 1 : 0;
    ever = std::max(ever, it.InForce);
  }

  void take(size_t n, log::Offset upto, const NodeId &source) {
    auto &it = Held.at(n);
    if (upto <= it.Held)
      return;
    for (auto at = it.Held + 1; at <= upto; ++at)
      it.Records.add({at, std::string(100, 'r')});
    it.Held = upto;
    it.Rule.received(upto, Now);
    refresh(n, it);
    MembershipActions announcement;
    announcement.Sends = Nodes.at(n).announceRecords(Now, source);
    post(n, std::move(announcement));
  }

  void replicate(size_t n, Holder &it) {
    const auto &table = Nodes.at(n).table();
    const auto &self = Nodes.at(n).self().Identity;
    auto view = viewForReplication(table, self.Id, self.DataCentre, it.Held);
    view.ReadsToEnd = it.Recovering.readsLog();
    view.NeedsState = it.Recovering.needsState(it.Held);
    view.Tails = (it.Recovering.isServing() || view.ReadsToEnd) &&
                 Replicator::isTailer(table, self.DataCentre, self.Id, 2);
    for (const auto &action : it.Replication.next(view, Now)) {
      if (action.What == ReplicationAction::Kind::ReadLog)
        read(n, action, Now + action.Wait);
      else
        pull(n, action);
    }
  }

  void read(size_t n, const ReplicationAction &action, base::TimePoint until) {
    bool reaches = PlatformUp && !CutFromPlatform.contains(n);
    bool isWaiting = reaches && LogEnd <= action.From && Now < until;
    Reads += Now + action.Wait == until ? 1 : 0;
    later(std::chrono::milliseconds(10), [=, this] {
      if (isWaiting)
        return read(n, action, until);
      auto &it = Held.at(n);
      it.Recovering.logRead(reaches, LogFirst, LogEnd);
      bool hasMore = reaches && LogEnd > action.From &&
                     LogFirst <= action.From && !Down.contains(n);
      if (hasMore)
        take(n, LogEnd - 1, {});
      it.Replication.readDone(reaches, hasMore, Now);
    });
  }

  void pull(size_t n, const ReplicationAction &action) {
    size_t peer = std::stoul(action.Peer.substr(5));
    bool isState = action.What == ReplicationAction::Kind::PullState;
    auto kind = isState ? TransferKind::State : TransferKind::Other;
    auto finish = [=, this](PullOutcome outcome, base::Duration retry) {
      later(std::chrono::milliseconds(10), [=, this] {
        Held.at(n).Replication.pullDone(action.Peer, outcome, retry, Now);
      });
    };
    if (!passes(n, peer) || !passes(peer, n))
      return finish(PullOutcome::Failed, {});
    auto &source = Held.at(peer);
    if (!source.Gate.begin(kind)) {
      ++BusyAnswers;
      return finish(PullOutcome::Busy, source.Gate.retryAfter());
    }
    StatesServed += isState ? 1 : 0;
    later(isState ? StateTime : std::chrono::milliseconds(10),
          [=, this] { serve(n, peer, action, finish); });
  }

  void serve(size_t n, size_t peer, const ReplicationAction &action,
             const std::function<void(PullOutcome, base::Duration)> &finish) {
    auto &source = Held.at(peer);
    bool isState = action.What == ReplicationAction::Kind::PullState;
    source.Gate.end(isState ? TransferKind::State : TransferKind::Other);
    if (Down.contains(n) || Down.contains(peer))
      return finish(PullOutcome::Failed, {});
    if (!isState && !source.Records.covers(action.From))
      return finish(PullOutcome::Expired, {});
    auto before = Held.at(n).Held;
    take(n, isState ? source.InForce : source.Held, action.Peer);
    finish(Held.at(n).Held > before ? PullOutcome::Advanced
                                    : PullOutcome::Nothing,
           {});
  }

  void later(base::Duration delay, std::function<void()> action) {
    Later.emplace_back(Now + delay, std::move(action));
  }

  uint32_t Holders;
  std::vector<std::pair<base::TimePoint, std::function<void()>>> Later;
};

} // namespace radishcross::fleet
