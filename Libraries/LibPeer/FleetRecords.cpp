#include <LibBase/Logger.h>
#include <LibFleet/RecoveryPlayer.h>
#include <LibFleet/SpreaderPlayer.h>
#include <LibLog/FoldPlayer.h>
#include <LibLog/GossipForm.h>
#include <LibPeer/FleetNode.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

// The part of FleetNode that moves records: reads of the log and pulls.

namespace radishcross::peer {

namespace {

constexpr uint32_t RecordsPerRead = 256;
constexpr size_t BytesPerPull = 1UL << 20;
constexpr size_t ReadRequestBytes = 200;   ///< An HTTP request's usual size.
constexpr size_t RecordOverheadBytes = 40; ///< Of a record in an HTTP answer.

size_t bytesOf(const std::vector<log::StoredRecord> &records) {
  size_t bytes = ReadRequestBytes;
  for (const auto &it : records)
    bytes += it.Bytes.size() + RecordOverheadBytes;
  return bytes;
}

} // namespace

void FleetNode::readLog(const fleet::SpreadAction &action) {
  *Bytes.Sent += ReadRequestBytes;
  // Who lacks what comes next looks for a snapshot, from where it has looked.
  auto from = Recovering.needsState(heldOffset())
                  ? std::max(action.From, ScanFrom)
                  : action.From;
  Environment.Platform->read(
      from, RecordsPerRead, action.Wait,
      [weak = weak_from_this()](const log::ReadAnswer &answer) {
        auto self = weak.lock();
        if (self && !self->HasLeft)
          self->logAnswered(answer);
      });
}

void FleetNode::logAnswered(const log::ReadAnswer &answer) {
  auto now = Environment.Time->now();
  *Bytes.Received += bytesOf(answer.Records);
  if (answer.Reached)
    watchLogEnd(answer);
  Recovering.logRead(answer.Reached, answer.First, answer.End);
  auto entry = fleet::RecoveryPlayer::logRead(answer.Reached, answer.First,
                                              answer.End, now);
  entry.Decided = fleet::RecoveryPlayer::outcomeOf(Recovering);
  if (!Recovering.isServing())
    Environment.Recorder->record(std::move(entry));
  scanSnapshots(answer.Records);
  bool advanced = Recovering.needsState(heldOffset())
                      ? readWithoutState(answer)
                      : takeRecords(answer.Records, {});
  Spreading.readDone(answer.Reached, advanced, now);
  Environment.Recorder->record(
      fleet::SpreaderPlayer::readDone(answer.Reached, advanced, now));
  spread();
}

bool FleetNode::readWithoutState(const log::ReadAnswer &answer) {
  if (!answer.Records.empty())
    ScanFrom = answer.Records.back().At + 1;
  else if (!Candidate)
    ScanFrom = 1; // It was replaced while it was read.
  return startFromSnapshot() || !answer.Records.empty();
}

void FleetNode::watchLogEnd(const log::ReadAnswer &answer) {
  // FIXME: Records that a shortened log takes up to the offset held here are
  // ignored; the log's service has to continue above it.
  bool isShort = answer.End <= heldOffset();
  if (isShort == IsLogShort)
    return;
  IsLogShort = isShort;
  Environment.Counters->setGauge("log_shortened", isShort ? 1 : 0);
  base::log(base::LogLevel::Error,
            isShort ? "log is shorter than what this node holds"
                    : "log has grown past what this node holds",
            {{"held", std::to_string(heldOffset())},
             {"end", std::to_string(answer.End)}});
}

bool FleetNode::takeRecords(std::vector<log::StoredRecord> records,
                            const fleet::NodeId &source) {
  auto before = heldOffset();
  for (auto &it : records) {
    if (it.At <= heldOffset())
      continue;
    if (it.At != heldOffset() + 1)
      break;
    // Parts of a snapshot are passed on empty, or each would cross every link.
    if (auto form = log::gossipForm(it); form.size() != it.Bytes.size())
      it.Bytes = std::string(form);
    Records.add(it);
    Waiting.push_back(std::move(it));
  }
  if (heldOffset() == before)
    return false;
  heldAdvanced(source);
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
  // Never a step back: records may have come by another way meanwhile.
  if (!loaded || loaded->offset() <= heldOffset())
    return false;
  Waiting.clear();
  Held = std::move(*loaded);
  HeldHash = Held.hash();
  recordState();
  heldAdvanced(source);
  reportFold();
  return true;
}

void FleetNode::heldAdvanced(const fleet::NodeId &source) {
  Rule.received(heldOffset(), Environment.Time->now());
  Members.setDigest(digest());
  putInForce();
  send(Members.pushNews(Environment.Time->now(), source));
}

void FleetNode::putInForce() {
  if (Waiting.empty())
    return;
  auto before = Held.offset();
  auto alone = Rule.forcedAlone();
  auto now = Environment.Time->now();
  auto at = now.time_since_epoch().count();
  auto allowed = Rule.allowed(Members.table(), now);
  while (!Waiting.empty() && Waiting.front().At <= allowed) {
    auto outcome = Held.apply(Waiting.front());
    Environment.Recorder->record(
        log::traceApply(at, Waiting.front(), outcome, Held));
    Waiting.pop_front();
  }
  if (Held.offset() < before)
    ++Environment.Counters->counter("steps_back_total");
  Environment.Counters->counter("in_force_without_holders_total") +=
      Rule.forcedAlone() - alone;
  if (Held.offset() == before)
    return;
  HeldHash = Held.hash();
  Members.setDigest(digest());
  reportFold();
}

void FleetNode::pull(const fleet::SpreadAction &action) {
  const auto *peer = Members.table().find(action.Peer);
  if (!peer)
    return pullAnswered(action.Peer, std::nullopt);
  PullRequest request;
  request.Sender = Environment.Self.Id;
  request.Nonce = Dice.next();
  request.Kind = action.What == fleet::SpreadAction::Kind::PullState
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
                 self->spread();
               });
}

void FleetNode::pullDone(const fleet::NodeId &peer, fleet::PullOutcome outcome,
                         base::Duration retryAfter) {
  auto now = Environment.Time->now();
  Spreading.pullDone(peer, outcome, retryAfter, now);
  Environment.Recorder->record(
      fleet::SpreaderPlayer::pullDone(peer, outcome, retryAfter, now));
}

void FleetNode::pullAnswered(const fleet::NodeId &peer,
                             const std::optional<PullAnswer> &answer) {
  if (!answer)
    return pullDone(peer, fleet::PullOutcome::Failed);
  Members.noteDigest(peer, answer->Summary);
  if (answer->Code == base::ResultCode::PeerBusy)
    return pullDone(peer, fleet::PullOutcome::Busy,
                    std::chrono::milliseconds(answer->RetryAfterMilliseconds));
  if (answer->Code == base::ResultCode::RecordExpired)
    return pullDone(peer, fleet::PullOutcome::Expired);
  bool advanced = answer->Kind == PullKind::State
                      ? applyState(*answer, peer)
                      : takeRecords(answer->Records, peer);
  pullDone(peer, advanced ? fleet::PullOutcome::Advanced
                          : fleet::PullOutcome::Nothing);
}

void FleetNode::pullMembers(const fleet::NodeId &peer) {
  const auto *member = Members.table().find(peer);
  if (!member)
    return;
  PullRequest request;
  request.Sender = Environment.Self.Id;
  request.Nonce = Dice.next();
  request.Kind = PullKind::Members;
  request.Buckets = Members.table().buckets();
  Client->pull(
      member->Identity.Peer, request,
      [weak = weak_from_this()](const std::optional<PullAnswer> &answer) {
        auto self = weak.lock();
        if (!self || !answer || self->HasLeft)
          return;
        self->Members.takePulled(answer->Members,
                                 self->Environment.Time->now());
        self->HasAskedPeers |= answer->Summary.IsRecovered;
        self->spread();
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
  // A restarted node asks what is remembered of it, which no hash covers.
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
  if (SavedAt != Held.offset()) {
    SavedState = boost::json::serialize(Held.save());
    SavedAt = Held.offset();
  }
  answer.State = SavedState;
  answer.StateOffset = SavedAt;
}

} // namespace radishcross::peer
