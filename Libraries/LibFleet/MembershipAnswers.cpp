#include <LibFleet/Membership.h>

#include <algorithm>
#include <utility>

// The part of Membership that handles and answers datagrams.

namespace radishcross::fleet {

namespace {
constexpr base::Duration RelayLifetime = std::chrono::seconds(2);
constexpr size_t MaximumRelays = 256;
} // namespace

MembershipActions Membership::handleDatagram(const GossipSender &sender,
                                             const GossipMessage &message,
                                             base::TimePoint now) {
  MembershipActions actions;
  if (IsLeaving || sender.Id == SelfId)
    return actions;
  for (const auto &it : message.Updates)
    mergeUpdate(it, now);
  if (message.Kind == GossipKind::Direct) {
    for (const auto &it : message.Notices)
      if (DirectNotices.size() < MaximumDirectNotices)
        DirectNotices.push_back({sender.Id, it});
    Table.updateDigest(sender.Id, message.Summary);
    return actions;
  }
  for (const auto &it : message.Notices)
    Board.post(it, now);
  Table.updateDigest(sender.Id, message.Summary);
  answer(sender, message, now, actions);
  compareTables(sender, message.Summary, now, actions);
  return actions;
}

void Membership::answer(const GossipSender &sender,
                        const GossipMessage &message, base::TimePoint now,
                        MembershipActions &actions) {
  if (message.Kind == GossipKind::PingRequest)
    return relayPing(sender, message, now, actions);
  if (message.Kind == GossipKind::Ack)
    return takeAck(sender, message, actions);
  const auto *known = Table.find(sender.Id);
  if (!known) {
    // The datagram lacks its sender's record; the Ack to a Join contains it.
    auto join = compose(GossipKind::Join);
    join.Updates.insert(join.Updates.begin(), ownUpdate());
    actions.Sends.push_back({sender.From, std::move(join)});
    return;
  }
  if (message.Kind == GossipKind::Update && known->State == MemberState::Alive)
    return;
  auto ack = compose(GossipKind::Ack, message.Probe, message.Subject);
  if (message.Kind == GossipKind::Join)
    ack.Updates.insert(ack.Updates.begin(), ownUpdate());
  // A sender that is not believed alive learns of it and can refute it.
  if (known->State != MemberState::Alive)
    ack.Updates.insert(ack.Updates.begin(), updateOf(sender.Id, false));
  actions.Sends.push_back({sender.From, std::move(ack)});
}

void Membership::relayPing(const GossipSender &sender,
                           const GossipMessage &message, base::TimePoint now,
                           MembershipActions &actions) {
  std::erase_if(Relays, [&](const Relay &it) { return it.Expires <= now; });
  const auto *subject = Table.find(message.Subject);
  if (!subject || Relays.size() >= MaximumRelays)
    return;
  uint64_t number = (1ULL << 63) | ++LastRelay;
  Relays.push_back({number, message.Subject, sender.From, message.Probe,
                    now + RelayLifetime});
  actions.Sends.push_back({subject->Identity.Gossip,
                           compose(GossipKind::Ping, number, message.Subject)});
}

void Membership::takeAck(const GossipSender &sender,
                         const GossipMessage &message,
                         MembershipActions &actions) {
  auto relay = std::find_if(Relays.begin(), Relays.end(), [&](const auto &it) {
    return it.Number == message.Probe && it.Subject == sender.Id;
  });
  if (relay != Relays.end()) {
    actions.Sends.push_back(
        {relay->Origin,
         compose(GossipKind::Ack, relay->OriginNumber, relay->Subject)});
    Relays.erase(relay);
    return;
  }
  // A peer answers a ping after it has merged the updates in it.
  if (ConfirmationRequests.contains(message.Probe)) {
    ConfirmedRevision = std::max(ConfirmedRevision, message.Probe);
    return;
  }
  const auto &subject = message.Subject.empty() ? sender.Id : message.Subject;
  Probes.acknowledged(subject, message.Probe);
}

void Membership::compareTables(const GossipSender &sender, const Digest &theirs,
                               base::TimePoint now,
                               MembershipActions &actions) {
  if (theirs.MembersHash == Table.hash()) {
    ConfirmedRevision = self().Revision;
    HashMismatches = 0;
    return;
  }
  const auto *known = Table.find(sender.Id);
  ++HashMismatches;
  // A joining node pulls at once; later on, most mismatches are due to updates
  // in flight.
  bool isJoining = Table.all().size() <= 2;
  if (!known || !isLive(*known) || now < NextPull ||
      (!isJoining && HashMismatches < Settings.MismatchesBeforePull))
    return;
  HashMismatches = 0;
  auto spacing = isJoining ? Settings.JoinPeriod : Settings.PullSpacing;
  NextPull = now + spacing / 2 + base::Duration(Rng.below(spacing.count()));
  actions.PullFrom = sender.Id;
}

} // namespace radishcross::fleet
