#include <LibBase/Hash.h>
#include <LibFleet/Rendezvous.h>
#include <LibFleet/Replicator.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace radishcross::fleet {

ReplicationView viewForReplication(const MemberTable &table, const NodeId &self,
                                   const std::string &dataCentre,
                                   log::Offset held) {
  ReplicationView view;
  view.Held = held;
  for (const auto &it : table.all()) {
    if (!isLive(it) || it.Identity.Id == self)
      continue;
    bool isLocal = it.Identity.DataCentre == dataCentre;
    view.LocalSize += isLocal ? 1 : 0;
    if (it.HeldOffset > held)
      view.Ahead.push_back({it.Identity.Id, it.HeldOffset, isLocal});
  }
  return view;
}

Replicator::Replicator(ReplicatorSettings settings, uint64_t seed)
    : Settings(settings), Rng(seed),
      ReadBackoff(settings.ShortestBackoff, settings.LongestBackoff),
      PullBackoff(settings.ShortestBackoff, settings.LongestBackoff) {}

bool Replicator::isTailer(const MemberTable &table,
                          const std::string &dataCentre, const NodeId &id,
                          uint32_t count) {
  return readerRank(table.all(), dataCentre, id).Rank < count;
}

std::vector<NodeId> Replicator::tailers(const std::vector<Member> &members,
                                        uint32_t count) {
  struct Weighed {
    uint64_t Weight;
    const NodeId *Id;
    bool operator>(const Weighed &other) const {
      return std::tie(Weight, *Id) > std::tie(other.Weight, *other.Id);
    }
  };
  std::map<std::string, std::vector<Weighed>> byDataCentre;
  for (const auto &it : members) {
    const auto &identity = it.Identity;
    if (isLive(it))
      byDataCentre[identity.DataCentre].push_back(
          {base::rendezvousWeight(identity.DataCentre, identity.Id),
           &identity.Id});
  }
  std::vector<NodeId> result;
  for (auto &[dataCentre, members] : byDataCentre) {
    auto chosen = std::min<size_t>(count, members.size());
    std::partial_sort(members.begin(), members.begin() + chosen, members.end(),
                      std::greater<>());
    for (size_t n = 0; n < chosen; ++n)
      result.push_back(*members[n].Id);
  }
  return result;
}

std::vector<ReplicationAction> Replicator::next(const ReplicationView &view,
                                                base::TimePoint now) {
  std::vector<ReplicationAction> actions;
  if (auto pull = nextPull(view, now))
    actions.push_back(std::move(*pull));
  if (auto read = nextRead(view, now))
    actions.push_back(std::move(*read));
  return actions;
}

void Replicator::planSafetyRead(base::TimePoint now) {
  LastSafetyRead = now;
  SafetyPercent = 50 + static_cast<uint32_t>(Rng.below(100));
}

/// Uses the current size of the data centre and not that at the last read: a
/// node that has just started knows few members.
base::TimePoint Replicator::nextSafetyRead(const ReplicationView &view) const {
  return LastSafetyRead +
         Settings.SafetyReadPeriod * view.LocalSize * SafetyPercent / 100;
}

std::optional<ReplicationAction>
Replicator::nextRead(const ReplicationView &view, base::TimePoint now) {
  if (ReadRunning)
    return std::nullopt;
  if (SafetyPercent == 0)
    planSafetyRead(now);
  bool isSafety = now >= nextSafetyRead(view);
  bool isFallback = PullBackoff.failures() >= Settings.FailedPullsBeforeRead;
  bool isWanted = view.Tails || view.ReadsToEnd || isSafety || isFallback;
  if (!ReadRequested && (!isWanted || now < NextRead))
    return std::nullopt;
  if (isSafety)
    planSafetyRead(now);
  ReadRunning = true;
  ReplicationAction action{
      ReplicationAction::Kind::ReadLog, {}, view.Held + 1, {}};
  if (view.Tails && !ReadRequested && !view.ReadsToEnd)
    action.Wait = Settings.LongPoll;
  ReadRequested = false;
  return action;
}

void Replicator::readDone(bool reached, bool hasRecords, base::TimePoint now) {
  ReadRunning = false;
  if (!reached) {
    NextRead = now + ReadBackoff.next(Rng);
    return;
  }
  ReadBackoff.reset();
  NextRead = hasRecords ? now : now + Settings.EmptyReadSpacing;
  if (PullBackoff.failures() >= Settings.FailedPullsBeforeRead)
    PullBackoff.reset();
}

const ReplicationSource *Replicator::chooseSource(const ReplicationView &view,
                                                  base::TimePoint now) {
  const ReplicationSource *chosen = nullptr;
  uint64_t localSeen = 0;
  uint64_t farSeen = 0;
  for (const auto &it : view.Ahead) {
    auto busy = BusyUntil.find(it.Id);
    if (busy != BusyUntil.end() && busy->second > now)
      continue;
    if (!it.IsLocal && localSeen > 0)
      continue;
    auto &seen = it.IsLocal ? localSeen : farSeen;
    ++seen;
    if ((it.IsLocal && seen == 1) || Rng.below(seen) == 0)
      chosen = &it;
  }
  return chosen;
}

std::optional<ReplicationAction>
Replicator::nextPull(const ReplicationView &view, base::TimePoint now) {
  if (PullRunning || now < NextPull)
    return std::nullopt;
  const auto *source = chooseSource(view, now);
  if (!source)
    return std::nullopt;
  PullRunning = true;
  bool isFar = source->Held - view.Held > Settings.StateDistance;
  bool wantsState = std::exchange(StateWanted, false);
  auto what = isFar || wantsState || view.NeedsState
                  ? ReplicationAction::Kind::PullState
                  : ReplicationAction::Kind::PullRecords;
  return ReplicationAction{what, source->Id, view.Held + 1, {}};
}

void Replicator::pullDone(const NodeId &peer, PullOutcome outcome,
                          base::Duration retryAfter, base::TimePoint now) {
  PullRunning = false;
  std::erase_if(BusyUntil, [&](const auto &it) { return it.second <= now; });
  switch (outcome) {
  case PullOutcome::Advanced:
    PullBackoff.reset();
    NextPull = now;
    return;
  case PullOutcome::Expired:
    StateWanted = true;
    NextPull = now;
    return;
  case PullOutcome::Busy:
    // The peer is alive, so this does not count as a failure that makes the
    // node read the log.
    BusyUntil[peer] =
        now + retryAfter + base::Duration(Rng.below(retryAfter.count() + 1));
    NextPull =
        now + base::Duration(Rng.below(Settings.ShortestBackoff.count() + 1));
    return;
  case PullOutcome::Nothing:
  case PullOutcome::Failed:
    BusyUntil[peer] = now + Settings.LongestBackoff / 4;
    NextPull = now + PullBackoff.next(Rng);
    return;
  }
}

} // namespace radishcross::fleet
