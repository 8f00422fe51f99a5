#include <LibBase/Logger.h>
#include <LibBase/WallClock.h>
#include <LibFleet/RecoveryPlayer.h>
#include <LibFleet/ReplicatorPlayer.h>
#include <LibLog/FoldPlayer.h>
#include <LibPeer/FleetNode.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace radishcross::peer {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds LeaveDelay{100};
constexpr std::chrono::milliseconds PeerQueryPeriod{250};
/// After a start only the tailers read the log for this multiple of
/// SeedContactTimeout, since their gossip may still arrive.
constexpr int TailersOnlyFactor = 4;

/// Wall-clock time makes incarnation and revision increase from process to
/// process. If the clock has stepped back, the peers' older records are
/// refuted.
fleet::Member initialMember(const fleet::NodeIdentity &self, uint64_t epoch) {
  fleet::Member member;
  member.Identity = self;
  member.Incarnation = epoch;
  member.Revision = epoch;
  return member;
}

} // namespace

std::optional<std::shared_ptr<FleetRuntime>>
FleetRuntime::create(FleetEnvironment environment, base::LastReason &reason) {
  fleet::RecoverySettings settings;
  settings.HasSeeds = !environment.Seeds.empty();
  if (!settings.HasSeeds && environment.HasSeedHosts) {
    settings.HasSeeds = true;
    settings.JoinGrace = environment.SeedContactTimeout;
  }
  auto recovery =
      fleet::Recovery::create(settings, environment.Time->now(), reason);
  if (!recovery)
    return std::nullopt;
  auto node = std::make_shared<FleetNode>(
      std::move(environment), settings, std::move(*recovery),
      static_cast<uint64_t>(base::unixMilliseconds()));
  if (!node->start(reason))
    return std::nullopt;
  return std::shared_ptr<FleetRuntime>(std::move(node));
}

FleetNode::FleetNode(FleetEnvironment environment,
                     const fleet::RecoverySettings &settings,
                     fleet::Recovery recovery, uint64_t epoch)
    : Environment(std::move(environment)),
      Authenticator(Environment.MeshKeys, Environment.TrustsNetwork),
      RandomSource(Environment.RandomSeed), Epoch(epoch),
      Bytes{&Environment.Counters->counter("control_bytes_sent_total"),
            &Environment.Counters->counter("control_bytes_received_total")},
      Rule(Environment.Self.Id, Environment.Self.DataCentre,
           {.Holders = Environment.HoldersBeforeForce}),
      Members(initialMember(Environment.Self, epoch), Environment.Seeds,
              fleet::MembershipSettings{}, RandomSource.next()),
      ReplicatorSeed(RandomSource.next()), RecordReplicator({}, ReplicatorSeed),
      CatchUp({.LeastBytesPerSecond = Environment.MinimumLinkBytesPerSecond},
              RandomSource.next()),
      Freshness(Environment.Freshness, RandomSource.next(),
                elapsedClock().now()),
      LastElapsed(elapsedClock().now()), RecoveryProcess(std::move(recovery)),
      Snapshots(Environment.Self.Id), Timer(*Environment.Context) {
  Environment.Counters->counter("steps_back_total") = 0;
  Started = Environment.Time->now();
  traceSetUp(settings);
  traceState();
}

FleetNode::~FleetNode() {
  if (Datagrams)
    Datagrams->close();
  if (Server)
    Server->close();
  if (Client)
    Client->close();
}

bool FleetNode::start(base::LastReason &reason) {
  std::weak_ptr<FleetNode> weak = weak_from_this();
  auto datagrams = DatagramSocket::create(
      *Environment.Context, Environment.Self.Gossip, Bytes,
      [weak](std::string_view bytes, const base::Address &from) {
        if (auto self = weak.lock())
          self->handleDatagram(bytes, from);
      },
      reason);
  if (!datagrams)
    return false;
  Datagrams = std::move(*datagrams);
  auto server = PullServer::create(
      *Environment.Context, Environment.Self.Peer, Authenticator, Bytes,
      *Environment.Counters,
      [weak](const PullRequest &request) {
        auto self = weak.lock();
        return self ? self->serve(request) : PullAnswer{};
      },
      reason);
  if (!server)
    return false;
  Server = std::move(*server);
  Client =
      std::make_shared<PullClient>(*Environment.Context, Authenticator, Bytes);
  armTimer();
  return true;
}

void FleetNode::armTimer() {
  Timer.expires_after(TickPeriod);
  Timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
    auto self = weak.lock();
    if (ec || !self || self->HasLeft)
      return;
    self->tick();
    self->armTimer();
  });
}

void FleetNode::tick() {
  LastElapsed = elapsedClock().now();
  Members.setDigest(digest());
  run(Members.tick(Environment.Time->now()));
  putInForce();
  replicate();
  pushFreshness();
  logConfirmation();
  catchUpWithPeers();
  writeSnapshotIfDue();
  Environment.Platform->continueTruncation();
  reportChanges();
}

fleet::Digest FleetNode::digest() const {
  auto report = Freshness.report(LastElapsed);
  // The digest may be sent up to one tick later.
  if (report.Age)
    *report.Age += TickPeriod;
  return {heldOffset(),      AppliedFold.offset(),
          AppliedFoldHash,   0,
          IsServingReported, report};
}

void FleetNode::reportChanges() {
  for (const auto &it : Members.takeNewNotices()) {
    auto own = OwnNotices.find(it.Topic);
    bool isOwn = own != OwnNotices.end() && own->second == it.Revision;
    if (!isOwn && Environment.NoticeReceived)
      Environment.NoticeReceived(
          it.Topic, it.Text,
          std::chrono::milliseconds(it.LifetimeMilliseconds));
  }
  OwnNotices.clear();
  for (const auto &it : Members.takeDirectNotices())
    if (Environment.DirectNoticeReceived)
      Environment.DirectNoticeReceived(it.From, it.Content.Topic,
                                       it.Content.Text);
  if (ReportedGeneration == Members.generation())
    return;
  ReportedGeneration = Members.generation();
  if (Environment.MembersChanged)
    Environment.MembersChanged();
}

void FleetNode::countDropped(std::string_view reason) {
  ++Environment.Counters->counter("datagrams_dropped_total{reason=\"" +
                                  std::string(reason) + "\"}");
}

void FleetNode::handleDatagram(std::string_view bytes,
                               const base::Address &from) {
  base::LastReason reason;
  if (HasLeft)
    return;
  if (bytes.size() > MaximumDatagramBytes)
    return countDropped("oversized");
  auto body = Authenticator.open(bytes, reason);
  if (!body)
    return countDropped("unauthenticated");
  auto datagram = decodeDatagram(*body, reason);
  if (!datagram)
    return countDropped("malformed");
  if (datagram->Sender == Environment.Self.Id)
    return countDropped("own");
  if (!Replays.accept(datagram->Sender, datagram->Epoch, datagram->Sequence))
    return countDropped("replayed");
  if (datagram->Allotment)
    return handleAllotment(*datagram, from);
  run(Members.handleDatagram({datagram->Sender, from}, datagram->Message,
                             Environment.Time->now()));
  checkFoldHash(datagram->Sender, datagram->Message.Summary);
  handleExternalDigest(datagram->Sender, datagram->Message.Summary.External);
  putInForce();
  replicate();
}

void FleetNode::checkFoldHash(const fleet::NodeId &sender,
                              const fleet::Digest &digest) {
  if (digest.InForce != AppliedFold.offset() ||
      digest.FoldHash == AppliedFoldHash)
    return;
  IsFoldDisputed = true;
  ++Environment.Counters->counter("fold_hash_differences_total");
  auto now = Environment.Time->now();
  if (now < NextFoldAlarm)
    return;
  NextFoldAlarm = now + std::chrono::seconds(10);
  base::log(base::LogLevel::Error, "folds differ at one offset",
            {{"peer", sender}, {"offset", std::to_string(digest.InForce)}});
}

void FleetNode::send(std::vector<fleet::GossipSend> sends) {
  for (auto &it : sends) {
    Datagram datagram{Environment.Self.Id, Epoch, ++Sequence,
                      std::move(it.Message)};
    auto bytes = Authenticator.seal(encodeDatagram(datagram));
    // Size estimates may be too low; a message that does not fit is sent
    // without its updates and notices.
    if (bytes.size() > MaximumDatagramBytes) {
      ++Environment.Counters->counter("datagrams_trimmed_total");
      datagram.Message.Updates.clear();
      datagram.Message.Notices.clear();
      bytes = Authenticator.seal(encodeDatagram(datagram));
    }
    Datagrams->send(it.To, bytes);
  }
}

void FleetNode::run(fleet::MembershipActions actions) {
  send(std::move(actions.Sends));
  if (actions.PullFrom)
    pullMembers(*actions.PullFrom);
}

void FleetNode::recover() {
  if (IsServingReported)
    return;
  const auto &self = Environment.Self;
  auto view = fleet::viewForRecovery(Members.table(), self.Id, self.DataCentre,
                                     AppliedFold.offset());
  RecoveryProcess.reevaluate(view, Environment.Time->now());
  traceRecoveryView(view);
  if (!RecoveryProcess.isServing() || !hasPeerAnswer(view))
    return;
  IsServingReported = true;
  Members.setDigest(digest());
  send(Members.announceRecords(Environment.Time->now()));
  send(Members.pushDigest());
  reportFold();
}

/// Publishes the fold, but not before the node serves.
void FleetNode::reportFold() {
  if (IsServingReported && Environment.FoldAdvanced)
    Environment.FoldAdvanced(AppliedFold);
}

/// Returns whether a serving peer has reported what it remembers of this node;
/// otherwise queries one. True if there is no serving peer to ask.
bool FleetNode::hasPeerAnswer(const fleet::RecoveryView &view) {
  if (HasPeerAnswered || !view.ServedAnywhere)
    return true;
  auto now = Environment.Time->now();
  if (now < NextPeerQuery)
    return false;
  NextPeerQuery = now + PeerQueryPeriod;
  const auto &self = Environment.Self;
  const fleet::Member *chosen = nullptr;
  size_t seen = 0;
  for (const auto &it : Members.table().all()) {
    if (it.Identity.Id == self.Id || !isLive(it) || !it.IsRecovered)
      continue;
    bool isBetter = chosen && it.Identity.DataCentre == self.DataCentre &&
                    chosen->Identity.DataCentre != self.DataCentre;
    bool isWorse = chosen && it.Identity.DataCentre != self.DataCentre &&
                   chosen->Identity.DataCentre == self.DataCentre;
    if (isWorse)
      continue;
    seen = isBetter ? 1 : seen + 1;
    if (isBetter || RandomSource.below(seen) == 0)
      chosen = &it;
  }
  if (chosen)
    pullMembers(chosen->Identity.Id);
  return false;
}

void FleetNode::traceSetUp(const fleet::RecoverySettings &settings) {
  // FIXME: A trace ring that has wrapped has lost the set-up entry, so its
  // entries of the replicator cannot be replayed.
  auto now = Environment.Time->now();
  auto entry = fleet::RecoveryPlayer::setUp(settings, now);
  entry.Decided = fleet::RecoveryPlayer::outcomeOf(RecoveryProcess);
  Environment.Recorder->record(std::move(entry));
  Environment.Recorder->record(
      fleet::ReplicatorPlayer::setUp(ReplicatorSeed, now));
}

void FleetNode::traceState() {
  auto at = Environment.Time->now().time_since_epoch().count();
  Environment.Recorder->record(log::traceLoad(at, AppliedFold));
}

void FleetNode::traceRecoveryView(const fleet::RecoveryView &view) {
  auto entry = fleet::RecoveryPlayer::reevaluate(view, Environment.Time->now());
  entry.Decided = fleet::RecoveryPlayer::outcomeOf(RecoveryProcess);
  // With an equal view only the passage of time can change the decision.
  if (entry.Numbers == LastRecoveryEntry.Numbers &&
      entry.Decided == LastRecoveryEntry.Decided)
    return;
  LastRecoveryEntry = entry;
  Environment.Recorder->record(std::move(entry));
}

fleet::ReplicationView FleetNode::replicationView() const {
  const auto &self = Environment.Self;
  auto view = fleet::viewForReplication(Members.table(), self.Id,
                                        self.DataCentre, heldOffset());
  bool isTailer =
      fleet::Replicator::isTailer(Members.table(), self.DataCentre, self.Id,
                                  Environment.TailersPerDataCentre);
  bool mayWait =
      Environment.HasSeedHosts &&
      Environment.Time->now() <
          Started + Environment.SeedContactTimeout * TailersOnlyFactor;
  view.ReadsToEnd = RecoveryProcess.readsLog() && (isTailer || !mayWait);
  view.NeedsState = RecoveryProcess.needsState(heldOffset());
  view.Tails = (RecoveryProcess.isServing() || view.ReadsToEnd) && isTailer;
  return view;
}

void FleetNode::replicate() {
  if (HasLeft)
    return;
  recover();
  auto now = Environment.Time->now();
  auto view = replicationView();
  auto actions = RecordReplicator.next(view, now);
  // The first call draws a random time; later calls without an action change
  // nothing.
  if (!actions.empty() || !std::exchange(IsReplicationRecorded, true))
    Environment.Recorder->record(
        fleet::ReplicatorPlayer::next(view, actions, now));
  for (const auto &it : actions)
    run(it);
}

void FleetNode::run(const fleet::ReplicationAction &action) {
  if (action.What == fleet::ReplicationAction::Kind::ReadLog)
    readLog(action);
  else
    pull(action);
}

void FleetNode::setTargets(std::vector<fleet::TargetRecord> targets) {
  auto now = Environment.Time->now();
  Members.setTargets(std::move(targets), now);
  send(Members.leaveUpdates(now));
}

void FleetNode::broadcastNotice(std::string topic, std::string text,
                                base::Duration lifetime) {
  auto left = std::chrono::ceil<std::chrono::milliseconds>(lifetime).count();
  // The clock of the node that sent the one before may be ahead.
  auto revision = std::max(static_cast<uint64_t>(base::unixMilliseconds()),
                           Members.noticeRevision(topic) + 1);
  OwnNotices[topic] = revision;
  Members.post(
      {std::move(topic), std::move(text), revision,
       static_cast<uint32_t>(std::clamp<int64_t>(left, 0, UINT32_MAX))},
      Environment.Time->now());
}

void FleetNode::sendNotice(const fleet::NodeId &to, std::string topic,
                           std::string text) {
  auto out = Members.direct(to, {{std::move(topic), std::move(text), 0, 0}});
  if (out)
    send({std::move(*out)});
}

void FleetNode::requestLogRead() {
  RecordReplicator.requestRead();
  Environment.Recorder->record(
      fleet::ReplicatorPlayer::requestRead(Environment.Time->now()));
  asio::post(*Environment.Context, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->replicate();
  });
}

void FleetNode::leave(std::function<void()> done) {
  send(Members.leave(Environment.Time->now()));
  HasLeft = true;
  Server->close();
  Timer.expires_after(LeaveDelay);
  Timer.async_wait([self = shared_from_this(),
                    done = std::move(done)](boost::system::error_code) {
    self->Datagrams->close();
    done();
  });
}

uint64_t FleetNode::controlBytes() const {
  return *Bytes.Sent + *Bytes.Received;
}

} // namespace radishcross::peer
