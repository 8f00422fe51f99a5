#include <LibBase/Logger.h>
#include <LibFleet/RecoveryPlayer.h>
#include <LibFleet/ReplicatorPlayer.h>
#include <LibLog/FoldPlayer.h>
#include <LibLog/GossipForm.h>
#include <LibPeer/FleetNode.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

// The part of FleetNode that transfers records: reads of the log and pulls.

namespace radishcross::peer {

namespace {

constexpr uint32_t RecordsPerRead = 256;
constexpr size_t BytesPerPull = 1UL << 20;
constexpr size_t ReadRequestBytes = 200;   ///< Typical size of an HTTP request.
constexpr size_t RecordOverheadBytes = 40; ///< Per record in an HTTP answer.

size_t bytesOf(const std::vector<log::StoredRecord> &records) {
  size_t bytes = ReadRequestBytes;
  for (const auto &it : records)
    bytes += it.Bytes.size() + RecordOverheadBytes;
  return bytes;
}

} // namespace

void FleetNode::readLog(const fleet::ReplicationAction &action) {
  *Bytes.Sent += ReadRequestBytes;
  // A node that lacks the state for the next record looks for a snapshot,
  // continuing from the last offset scanned.
  auto from = RecoveryProcess.needsState(heldOffset())
                  ? std::max(action.From, NextScanOffset)
                  : action.From;
  Environment.Platform->read(
      from, RecordsPerRead, action.Wait,
      [weak = weak_from_this()](const log::ReadAnswer &answer) {
        auto self = weak.lock();
        if (self && !self->HasLeft)
          self->handleLogRead(answer);
      });
}

void FleetNode::handleLogRead(const log::ReadAnswer &answer) {
  auto now = Environment.Time->now();
  *Bytes.Received += bytesOf(answer.Records);
  if (answer.Reached)
    checkLogEnd(answer);
  RecoveryProcess.logRead(answer.Reached, answer.First, answer.End);
  auto entry = fleet::RecoveryPlayer::logRead(answer.Reached, answer.First,
                                              answer.End, now);
  entry.Decided = fleet::RecoveryPlayer::outcomeOf(RecoveryProcess);
  if (!RecoveryProcess.isServing())
    Environment.Recorder->record(std::move(entry));
  scanSnapshots(answer.Records);
  bool advanced = RecoveryProcess.needsState(heldOffset())
                      ? searchSnapshot(answer)
                      : acceptRecords(answer.Records, {});
  RecordReplicator.readDone(answer.Reached, advanced, now);
  Environment.Recorder->record(
      fleet::ReplicatorPlayer::readDone(answer.Reached, advanced, now));
  replicate();
}

bool FleetNode::searchSnapshot(const log::ReadAnswer &answer) {
  if (!answer.Records.empty())
    NextScanOffset = answer.Records.back().At + 1;
  else if (!Candidate)
    NextScanOffset = 1; // The snapshot was replaced during the scan.
  return startFromSnapshot() || !answer.Records.empty();
}

void FleetNode::checkLogEnd(const log::ReadAnswer &answer) {
  // FIXME: Records appended to a shortened log are ignored up to the offset
  // held here; the log service has to continue above it.
  bool isShort = answer.End <= heldOffset();
  if (isShort == IsLogShortened)
    return;
  IsLogShortened = isShort;
  Environment.Counters->setGauge("log_shortened", isShort ? 1 : 0);
  base::log(base::LogLevel::Error,
            isShort ? "log is shorter than what this node holds"
                    : "log has grown past what this node holds",
            {{"held", std::to_string(heldOffset())},
             {"end", std::to_string(answer.End)}});
}

bool FleetNode::acceptRecords(std::vector<log::StoredRecord> records,
                              const fleet::NodeId &source) {
  auto before = heldOffset();
  for (auto &it : records) {
    if (it.At <= heldOffset())
      continue;
    if (it.At != heldOffset() + 1)
      break;
    // Snapshot parts are forwarded without content, or each would be sent over
    // every link.
    if (auto form = log::gossipForm(it); form.size() != it.Bytes.size())
      it.Bytes = std::string(form);
    Records.add(it);
    PendingRecords.push_back(std::move(it));
  }
  if (heldOffset() == before)
    return false;
  announceHeldOffset(source);
  return true;
}

bool FleetNode::applyState(const PullAnswer &answer,
                           const fleet::NodeId &source) {
  boost::system::error_code ec;
  base::LastReason reason;
  auto document = boost::json::parse(answer.State, ec);
  if (ec)
    return false;
  auto loaded = log::Fold::load(document, reason);
  // Never step back: records may have arrived by another path meanwhile.
  if (!loaded || loaded->offset() <= heldOffset())
    return false;
  PendingRecords.clear();
  AppliedFold = std::move(*loaded);
  AppliedFoldHash = AppliedFold.hash();
  traceState();
  announceHeldOffset(source);
  reportFold();
  return true;
}

void FleetNode::announceHeldOffset(const fleet::NodeId &source) {
  Rule.received(heldOffset(), Environment.Time->now());
  Members.setDigest(digest());
  putInForce();
  send(Members.announceRecords(Environment.Time->now(), source));
}

void FleetNode::putInForce() {
  if (PendingRecords.empty())
    return;
  auto before = AppliedFold.offset();
  auto alone = Rule.activatedByTimeout();
  auto now = Environment.Time->now();
  auto at = now.time_since_epoch().count();
  auto allowed = Rule.allowed(Members.table(), now);
  while (!PendingRecords.empty() && PendingRecords.front().At <= allowed) {
    auto outcome = AppliedFold.apply(PendingRecords.front());
    Environment.Recorder->record(
        log::traceApply(at, PendingRecords.front(), outcome, AppliedFold));
    PendingRecords.pop_front();
  }
  if (AppliedFold.offset() < before)
    ++Environment.Counters->counter("steps_back_total");
  Environment.Counters->counter("in_force_without_holders_total") +=
      Rule.activatedByTimeout() - alone;
  if (AppliedFold.offset() == before)
    return;
  AppliedFoldHash = AppliedFold.hash();
  Members.setDigest(digest());
  reportFold();
}

void FleetNode::pull(const fleet::ReplicationAction &action) {
  const auto *peer = Members.table().find(action.Peer);
  if (!peer)
    return pullAnswered(action.Peer, std::nullopt);
  PullRequest request;
  request.Sender = Environment.Self.Id;
  request.Nonce = RandomSource.next();
  request.Kind = action.What == fleet::ReplicationAction::Kind::PullState
                     ? PullKind::State
                     : PullKind::Records;
  request.From = action.From;
  Client->pull(peer->Identity.Peer, request,
               [weak = weak_from_this(),
                id = action.Peer](const std::optional<PullAnswer> &answer) {
                 auto self = weak.lock();
                 if (!self || self->HasLeft)
                   return;
                 self->pullAnswered(id, answer);
                 self->replicate();
               });
}

void FleetNode::pullDone(const fleet::NodeId &peer, fleet::PullOutcome outcome,
                         base::Duration retryAfter) {
  auto now = Environment.Time->now();
  RecordReplicator.pullDone(peer, outcome, retryAfter, now);
  Environment.Recorder->record(
      fleet::ReplicatorPlayer::pullDone(peer, outcome, retryAfter, now));
}

void FleetNode::pullAnswered(const fleet::NodeId &peer,
                             const std::optional<PullAnswer> &answer) {
  if (!answer)
    return pullDone(peer, fleet::PullOutcome::Failed);
  Members.updateDigest(peer, answer->Summary);
  if (answer->Code == base::ResultCode::PeerBusy)
    return pullDone(peer, fleet::PullOutcome::Busy,
                    std::chrono::milliseconds(answer->RetryAfterMilliseconds));
  if (answer->Code == base::ResultCode::RecordExpired)
    return pullDone(peer, fleet::PullOutcome::Expired);
  bool advanced = answer->Kind == PullKind::State
                      ? applyState(*answer, peer)
                      : acceptRecords(answer->Records, peer);
  pullDone(peer, advanced ? fleet::PullOutcome::Advanced
                          : fleet::PullOutcome::Nothing);
}

void FleetNode::pullMembers(const fleet::NodeId &peer) {
  const auto *member = Members.table().find(peer);
  if (!member)
    return;
  PullRequest request;
  request.Sender = Environment.Self.Id;
  request.Nonce = RandomSource.next();
  request.Kind = PullKind::Members;
  request.Buckets = Members.table().buckets();
  Client->pull(
      member->Identity.Peer, request,
      [weak = weak_from_this()](const std::optional<PullAnswer> &answer) {
        auto self = weak.lock();
        if (!self || !answer || self->HasLeft)
          return;
        self->Members.mergePulled(answer->Members,
                                  self->Environment.Time->now());
        self->HasPeerAnswered |= answer->Summary.IsRecovered;
        self->replicate();
      });
}

PullAnswer FleetNode::serve(const PullRequest &request) {
  PullAnswer answer;
  answer.Summary = digest();
  if (request.Kind == PullKind::Members)
    serveMembers(request, answer);
  if (request.Kind == PullKind::Records)
    serveRecords(request, answer);
  if (request.Kind == PullKind::State)
    serveState(answer);
  if (request.Kind == PullKind::External)
    serveExternal(request, answer);
  return answer;
}

void FleetNode::serveMembers(const PullRequest &request, PullAnswer &answer) {
  answer.Members = Members.table().differing(request.Buckets);
  bool isIncluded = std::any_of(
      answer.Members.begin(), answer.Members.end(),
      [&](const auto &it) { return it.Identity.Id == request.Sender; });
  // A restarted node asks for its own former record, which no bucket hash
  // covers.
  const auto *asker = Members.table().find(request.Sender);
  if (asker && !isIncluded)
    answer.Members.push_back(*asker);
}

void FleetNode::serveRecords(const PullRequest &request, PullAnswer &answer) {
  if (request.From > heldOffset())
    return;
  if (!Records.covers(request.From)) {
    answer.Code = base::ResultCode::RecordExpired;
    return;
  }
  answer.Records = Records.slice(request.From, BytesPerPull);
}

void FleetNode::serveState(PullAnswer &answer) {
  if (SavedStateOffset != AppliedFold.offset()) {
    SavedState = boost::json::serialize(AppliedFold.save());
    SavedStateOffset = AppliedFold.offset();
  }
  answer.State = SavedState;
  answer.StateOffset = SavedStateOffset;
}

} // namespace radishcross::peer
