#include <LibFleet/Membership.h>
#include <LibFleet/UpdateSize.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace radishcross::fleet {

namespace {

constexpr base::Duration LongestTickGap = std::chrono::seconds(1);
constexpr base::Duration LoadUpdateSpacing = std::chrono::seconds(10);
constexpr uint32_t LoadStepPermille = 250;
constexpr size_t MaximumForwardedPull = 20;
constexpr size_t NoticeBytes = 420;  ///< Fits any single notice.
constexpr uint32_t NoticeRounds = 3; ///< Pushes that include a notice.

bool sameButLoad(const TargetRecord &a, const TargetRecord &b) {
  return a.Service == b.Service && a.TargetId == b.TargetId &&
         a.Where == b.Where && a.State == b.State && a.Slots == b.Slots &&
         a.Connections == b.Connections && a.Epoch == b.Epoch &&
         a.SoftwareVersion == b.SoftwareVersion;
}

bool sameButLoad(const std::vector<TargetRecord> &a,
                 const std::vector<TargetRecord> &b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(),
      [](const auto &x, const auto &y) { return sameButLoad(x, y); });
}

/// Returns true if a target that was ready no longer is.
bool takesLessWork(const std::vector<TargetRecord> &before,
                   const std::vector<TargetRecord> &after) {
  return std::any_of(before.begin(), before.end(), [&](const auto &was) {
    return was.State == TargetState::Ready &&
           std::none_of(after.begin(), after.end(), [&](const auto &is) {
             return is.TargetId == was.TargetId &&
                    is.State == TargetState::Ready;
           });
  });
}

bool sameLoadSteps(const std::vector<TargetRecord> &a,
                   const std::vector<TargetRecord> &b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto &x, const auto &y) {
                      return x.LoadPermille / LoadStepPermille ==
                             y.LoadPermille / LoadStepPermille;
                    });
}

} // namespace

Membership::Membership(Member self, std::vector<base::Address> seeds,
                       MembershipSettings settings, uint64_t seed)
    : SelfId(self.Identity.Id), DataCentre(self.Identity.DataCentre),
      Seeds(std::move(seeds)), ConfiguredSeeds(Seeds.size()),
      Settings(settings), Rng(seed),
      Probes(SelfId, DataCentre, settings.Probing, Rng.next()) {
  Table.merge({std::move(self), true});
  Queue.push(SelfId, true);
}

MembershipActions Membership::tick(base::TimePoint now) {
  MembershipActions actions;
  if (IsLeaving)
    return actions;
  compensatePause(now);
  expireTimers(now);
  Board.expire(now);
  probe(now, actions);
  joinIfDue(now, actions);
  contactRemoteIfDue(now, actions);
  auto leaves = leaveUpdates(now);
  std::move(leaves.begin(), leaves.end(), std::back_inserter(actions.Sends));
  bool isLaterPush = LaterPush && now >= *LaterPush;
  if (isLaterPush)
    planLaterPush(now);
  bool hasUpdates = isUpdatePushDue(now);
  if (!hasUpdates && !isLaterPush)
    return actions;
  HasPendingUpdates = HasPendingUpdates && !hasUpdates;
  auto sends = push([](const Member &) { return true; },
                    hasUpdates ? Payload::Updates : Payload::DigestOnly);
  std::move(sends.begin(), sends.end(), std::back_inserter(actions.Sends));
  return actions;
}

bool Membership::isUpdatePushDue(base::TimePoint now) {
  if ((!HasPendingUpdates && !Board.hasUnsent()) || now < NextUpdatePush)
    return false;
  bool isFlood = now < NextUpdatePush + Settings.LongestUpdateSpacing;
  UpdateSpacing =
      isFlood ? std::min(UpdateSpacing * 2, Settings.LongestUpdateSpacing)
              : Settings.ShortestUpdateSpacing;
  NextUpdatePush = now + UpdateSpacing;
  return true;
}

void Membership::compensatePause(base::TimePoint now) {
  auto gap = now - LastTick;
  bool isFirst = LastTick == base::TimePoint{};
  LastTick = now;
  if (isFirst || gap < LongestTickGap)
    return;
  Probes.shift(gap);
  for (auto &[id, until] : SuspectUntil)
    until += gap;
}

void Membership::probe(base::TimePoint now, MembershipActions &actions) {
  while (true) {
    auto action = Probes.next(Table, now);
    if (action.What == ProbeAction::Kind::None)
      return;
    const auto *member = Table.find(action.Subject);
    if (!member || !isLive(*member))
      continue;
    if (action.What == ProbeAction::Kind::Ping)
      actions.Sends.push_back(
          {member->Identity.Gossip,
           compose(GossipKind::Ping, action.Number, action.Subject)});
    if (action.What == ProbeAction::Kind::PingIndirectly)
      requestIndirectProbes(action, actions);
    if (action.What == ProbeAction::Kind::Suspect &&
        member->State == MemberState::Alive)
      setState(*member, MemberState::Suspect, now);
  }
}

void Membership::requestIndirectProbes(const ProbeAction &action,
                                       MembershipActions &actions) {
  auto helpers =
      chooseLive(Settings.Probing.IndirectProbes, [&](const Member &it) {
        return isLocal(it) && it.Identity.Id != action.Subject;
      });
  for (const auto *it : helpers)
    actions.Sends.push_back(
        {it->Identity.Gossip,
         compose(GossipKind::PingRequest, action.Number, action.Subject)});
}

void Membership::planLaterPush(base::TimePoint now) {
  LaterPush.reset();
  if (LaterPushesLeft == 0)
    return;
  --LaterPushesLeft;
  auto delay = Settings.SecondPushDelay.count();
  LaterPush = now + base::Duration(delay / 2 + Rng.below(delay));
}

std::vector<GossipSend> Membership::announceRecords(base::TimePoint now,
                                                    const NodeId &source) {
  LaterPushesLeft = Settings.LaterPushes;
  planLaterPush(now);
  auto sends =
      push([&](const Member &it) { return it.HeldOffset < OwnDigest.Held; },
           Payload::DigestOnly);
  if (const auto *it = Table.find(source))
    sends.push_back({it->Identity.Gossip,
                     compose(GossipKind::Update, 0, {}, Payload::DigestOnly)});
  return sends;
}

std::vector<GossipSend>
Membership::push(const std::function<bool(const Member &)> &accept,
                 Payload payload) {
  auto peers = chooseLive(Settings.PushFanout, [&](const Member &it) {
    return isLocal(it) && accept(it);
  });
  if (drawRemoteContact())
    for (const auto *it : chooseLive(1, [&](const Member &far) {
           return !isLocal(far) && accept(far);
         }))
      peers.push_back(it);
  std::vector<GossipSend> sends;
  sends.reserve(peers.size());
  for (const auto *it : peers)
    sends.push_back(
        {it->Identity.Gossip, compose(GossipKind::Update, 0, {}, payload)});
  return sends;
}

uint32_t Membership::leaveCopiesSent(const Member &member) const {
  auto it = LeaveDeliveries.find(member.Identity.Id);
  bool isCurrent = it != LeaveDeliveries.end() &&
                   it->second.Incarnation == member.Incarnation;
  return isCurrent ? it->second.Copies : 0;
}

bool Membership::mayHaveReturned(const Member &member,
                                 base::TimePoint now) const {
  auto it = DeadUntil.find(member.Identity.Id);
  return it != DeadUntil.end() && now < it->second - Settings.DeadRetention +
                                            Settings.DepartedNotifyWindow;
}

std::vector<const Member *> Membership::leaveRecipients(uint32_t copies,
                                                        base::TimePoint now) {
  std::vector<const Member *> out;
  for (uint32_t n = 0; n < copies; ++n) {
    auto hasCopies = [&](const Member &it) {
      return leaveCopiesSent(it) == n &&
             (isLive(it) || mayHaveReturned(it, now));
    };
    auto chosen = sample(Settings.LeaveFanout - out.size(), hasCopies);
    out.insert(out.end(), chosen.begin(), chosen.end());
  }
  return out;
}

std::vector<GossipSend> Membership::leaveUpdates(base::TimePoint now) {
  bool isMinRound = LeaveRoundsLeft > 0;
  if ((!isMinRound && now >= LeaveUpdatesUntil) || now < NextLeaveRound)
    return {};
  NextLeaveRound = now + Settings.SecondPushDelay;
  LeaveRoundsLeft -= isMinRound ? 1 : 0;
  auto recipients = leaveRecipients(
      isMinRound ? Settings.MinLeaveRounds : Settings.LeaveCopies, now);
  // The first round only informs, so that nothing delays it.
  const bool isAsking = !LeaveDeliveries.empty();
  if (isAsking)
    requestConfirmation();
  std::vector<GossipSend> sends;
  for (const auto *it : recipients) {
    LeaveDeliveries[it->Identity.Id] = {it->Incarnation,
                                        leaveCopiesSent(*it) + 1};
    const bool isAsked = isAsking && sends.size() < Settings.LeaveConfirmations;
    auto message =
        compose(isAsked ? GossipKind::Ping : GossipKind::Update,
                isAsked ? self().Revision : 0, {}, Payload::DigestOnly);
    message.Updates.push_back(ownUpdate());
    sends.push_back({it->Identity.Gossip, std::move(message)});
  }
  return sends;
}

void Membership::requestConfirmation() {
  ConfirmationRequests.insert(self().Revision);
  if (ConfirmationRequests.size() > MaximumConfirmationRequests)
    ConfirmationRequests.erase(ConfirmationRequests.begin());
}

std::vector<GossipSend> Membership::leave(base::TimePoint now) {
  setState(self(), MemberState::Left, now);
  IsLeaving = true;
  LeaveDeliveries.clear();
  LeaveRoundsLeft = 1;
  NextLeaveRound = now;
  return leaveUpdates(now);
}

void Membership::mergePulled(const std::vector<Member> &records,
                             base::TimePoint now) {
  // A large pull is the first table of a joining node, which the others know.
  bool isForwarded = records.size() <= MaximumForwardedPull;
  for (const auto &it : records) {
    if (it.Identity.Id == SelfId)
      recallFormer(it);
    mergeUpdate({it, true}, now, isForwarded);
  }
}

/// Reads what a peer has kept for this node's previous process.
void Membership::recallFormer(const Member &kept) {
  if (!self().KnowsExceptions)
    FormerExceptions = kept.Exceptions;
  if (self().KnowsDepartures)
    return;
  HasFormerDepartures = HasFormerDepartures || kept.KnowsDepartures;
  for (const auto &[id, epoch] : kept.Departed) {
    auto &latest = FormerDepartures[id];
    latest = std::max(latest, epoch);
  }
}

void Membership::mergeUpdate(const MemberUpdate &update, base::TimePoint now,
                             bool isForwarded) {
  if (update.Record.Identity.Id == SelfId)
    return refute(update);
  if (!Table.merge(update))
    return;
  ++Generation;
  const auto *held = Table.find(update.Record.Identity.Id);
  updateTimers(*held, now);
  if (!isForwarded)
    return;
  HasPendingUpdates = true;
  Queue.push(held->Identity.Id, update.HasContent);
}

void Membership::refute(const MemberUpdate &update) {
  Member own = self();
  bool isOutdated = update.Record.Incarnation > own.Incarnation ||
                    update.Record.Revision > own.Revision;
  bool isAccused = update.Record.Incarnation == own.Incarnation &&
                   update.Record.State > own.State;
  if (!isOutdated && !isAccused)
    return;
  own.Incarnation = std::max(own.Incarnation, update.Record.Incarnation) + 1;
  own.Revision = std::max(own.Revision, update.Record.Revision) + 1;
  own.State = MemberState::Alive;
  Table.merge({own, true});
  Queue.push(SelfId, true);
  HasPendingUpdates = true;
  ++Generation;
}

void Membership::setState(const Member &member, MemberState state,
                          base::TimePoint now) {
  MemberUpdate update{member, false};
  update.Record.State = state;
  if (!Table.merge(update))
    return;
  ++Generation;
  HasPendingUpdates = true;
  Queue.push(update.Record.Identity.Id, false);
  updateTimers(update.Record, now);
}

void Membership::updateTimers(const Member &member, base::TimePoint now) {
  const auto &id = member.Identity.Id;
  SuspectUntil.erase(id);
  if (isLive(member))
    DeadUntil.erase(id);
  else
    DeadUntil.try_emplace(id, now + Settings.DeadRetention);
  if (member.State != MemberState::Suspect || !isLocal(member))
    return;
  double size =
      std::max<double>(static_cast<double>(liveCount(DataCentre)), 10);
  auto factor = std::log10(size);
  SuspectUntil[id] =
      now +
      base::Duration(static_cast<int64_t>(
          static_cast<double>(Settings.SuspicionTimeout.count()) * factor));
}

void Membership::expireTimers(base::TimePoint now) {
  std::vector<NodeId> lost;
  for (const auto &[id, until] : SuspectUntil)
    if (until <= now)
      lost.push_back(id);
  for (const auto &id : lost)
    if (const auto *member = Table.find(id))
      setState(*member, MemberState::Dead, now);
  for (auto it = DeadUntil.begin(); it != DeadUntil.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    Table.remove(it->first);
    ++Generation;
    it = DeadUntil.erase(it);
  }
}

void Membership::setTargets(std::vector<TargetRecord> targets,
                            base::TimePoint now) {
  Member own = self();
  bool isSame = sameButLoad(own.Targets, targets);
  bool isFine =
      isSame && (sameLoadSteps(own.Targets, targets) || now < NextLoadUpdate);
  if (isFine)
    return;
  if (isSame)
    NextLoadUpdate = now + LoadUpdateSpacing;
  if (takesLessWork(own.Targets, targets)) {
    LeaveRoundsLeft = Settings.MinLeaveRounds;
    NextLeaveRound = now;
    LeaveUpdatesUntil = now + Settings.LeaveUpdateDuration;
    LeaveDeliveries.clear();
  }
  own.Targets = std::move(targets);
  replaceSelf(std::move(own));
}

/// Replaces the content of this node's own record and spreads it.
void Membership::replaceSelf(Member own) {
  ++own.Revision;
  Table.merge({std::move(own), true});
  Queue.push(SelfId, true);
  HasPendingUpdates = true;
  ++Generation;
}

void Membership::setExceptions(std::map<std::string, uint64_t> exceptions) {
  Member own = self();
  if (own.KnowsExceptions && own.Exceptions == exceptions)
    return;
  own.Exceptions = std::move(exceptions);
  own.KnowsExceptions = true;
  replaceSelf(std::move(own));
}

void Membership::setDepartures(Departures departures, bool isComplete) {
  Member own = self();
  if (own.KnowsDepartures == isComplete && own.Departed == departures)
    return;
  const bool isChanged = own.Departed != departures;
  own.Departed = std::move(departures);
  own.KnowsDepartures = isComplete;
  replaceSelf(std::move(own));
  if (isChanged)
    DeparturesRevision = self().Revision;
}

void Membership::setDigest(const Digest &digest) {
  OwnDigest = digest;
  Table.updateDigest(SelfId, digest);
}

void Membership::post(const Notice &notice, base::TimePoint now) {
  Board.post(notice, now);
}

std::vector<Notice> Membership::takeNewNotices() { return Board.takeNew(); }

std::optional<GossipSend> Membership::direct(const NodeId &to,
                                             std::vector<Notice> notices) {
  const auto *member = Table.find(to);
  if (!member)
    return std::nullopt;
  auto message = compose(GossipKind::Direct, 0, {}, Payload::DigestOnly);
  message.Notices = std::move(notices);
  return GossipSend{member->Identity.Gossip, std::move(message)};
}

std::vector<Membership::DirectNotice> Membership::takeDirectNotices() {
  return std::exchange(DirectNotices, {});
}

GossipMessage Membership::compose(GossipKind kind, uint64_t probe,
                                  const NodeId &subject, Payload payload) {
  GossipMessage message;
  message.Kind = kind;
  message.Probe = probe;
  message.Subject = subject;
  message.Summary = OwnDigest;
  message.Summary.MembersHash = Table.hash();
  if (payload == Payload::DigestOnly)
    return message;
  message.Notices =
      Board.toSend(NoticeBytes, Settings.PushFanout * NoticeRounds, LastTick);
  addUpdates(message);
  return message;
}

void Membership::addUpdates(GossipMessage &message) {
  constexpr size_t MaximumUpdates = 20;
  auto limit = Settings.RetransmitFactor *
               static_cast<uint32_t>(std::bit_width(Table.all().size()));
  size_t room = Settings.UpdateBytes;
  for (const auto &item : Queue.leastSent(MaximumUpdates)) {
    if (!Table.find(item.Id)) {
      Queue.sent(item.Id, 0);
      continue;
    }
    auto update = updateOf(item.Id, item.HasContent);
    // A record too large for a datagram is exchanged when tables are compared.
    if (estimatedBytes(update) > Settings.UpdateBytes)
      update = updateOf(item.Id, false);
    size_t bytes = estimatedBytes(update);
    if (bytes > room)
      continue;
    room -= bytes;
    message.Updates.push_back(std::move(update));
    Queue.sent(item.Id, limit);
  }
}

MemberUpdate Membership::updateOf(const NodeId &id, bool hasContent) const {
  return {*Table.find(id), hasContent};
}

size_t Membership::liveCount(std::string_view dataCentre) const {
  return std::count_if(
      Table.all().begin(), Table.all().end(), [&](const Member &it) {
        return isLive(it) && it.Identity.DataCentre == dataCentre;
      });
}

std::vector<const Member *>
Membership::chooseLive(size_t count,
                       const std::function<bool(const Member &)> &accept) {
  return sample(count,
                [&](const Member &it) { return isLive(it) && accept(it); });
}

std::vector<const Member *>
Membership::sample(size_t count,
                   const std::function<bool(const Member &)> &accept) {
  std::vector<const Member *> chosen;
  size_t seen = 0;
  for (const auto &it : Table.all()) {
    if (it.Identity.Id == SelfId || !accept(it))
      continue;
    ++seen;
    if (chosen.size() < count) {
      chosen.push_back(&it);
      continue;
    }
    // Reservoir sampling: each member is chosen with equal probability.
    if (auto place = Rng.below(seen); place < count)
      chosen[place] = &it;
  }
  return chosen;
}

} // namespace radishcross::fleet
