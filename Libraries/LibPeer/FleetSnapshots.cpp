#include <LibBase/Logger.h>
#include <LibPeer/FleetNode.h>

#include <algorithm>
#include <chrono>
#include <utility>

// The part of FleetNode that writes snapshots of the fold to the log, so that
// the records they cover can be dropped, and that starts from a snapshot when
// no peer has the state.

namespace radishcross::peer {

namespace {

constexpr base::Duration SnapshotCheckPeriod = std::chrono::seconds(1);
/// How long a joining node waits for a second source to confirm a snapshot
/// before it accepts the newest valid one. Without this limit a fleet that has
/// lost every copy of the state could never recover.
constexpr base::Duration ConfirmationTimeout = std::chrono::seconds(10);
/// HTTP headers of request and answer.
constexpr size_t RecordOverheadBytes = 250;

bool mayBeSnapshot(const log::StoredRecord &record) {
  return record.Bytes.find("\"snapshot\"") != std::string::npos;
}

} // namespace

void FleetNode::scanSnapshots(const std::vector<log::StoredRecord> &records) {
  auto now = Environment.Time->now();
  for (const auto &it : records) {
    base::LastReason reason;
    if (!mayBeSnapshot(it))
      continue;
    auto record = log::decodeRecord(it.Bytes, reason);
    if (!record || record->Kind != log::RecordKind::Snapshot)
      continue;
    auto found = Assembler.take(*record, it.At, reason);
    if (!found)
      continue;
    Snapshots.snapshotSeen(found->State.offset(), now);
    if (found->Writer == Environment.Self.Id)
      snapshotWritten(found->State.offset());
    HashVerifier.addReportedHash(found->Writer, found->State.offset(),
                                 found->State.hash());
    if (!RecoveryProcess.needsState(heldOffset()) ||
        found->State.offset() <= heldOffset())
      continue;
    if (!Candidate)
      CandidateSince = now;
    if (!Candidate || found->State.offset() >= Candidate->State.offset())
      Candidate = std::move(found);
  }
}

bool FleetNode::startFromSnapshot() {
  if (!Candidate || !RecoveryProcess.needsState(heldOffset()))
    return false;
  const auto &state = Candidate->State;
  for (const auto &it : Members.table().all())
    HashVerifier.addReportedHash(it.Identity.Id, it.ConfigOffset, it.FoldHash);
  auto verdict =
      HashVerifier.verify(Candidate->Writer, state.offset(), state.hash());
  auto now = Environment.Time->now();
  if (verdict == log::HashVerdict::Refuted) {
    Candidate.reset();
    return false;
  }
  if (verdict == log::HashVerdict::Unconfirmed) {
    if (now < CandidateSince + ConfirmationTimeout)
      return false;
    ++Environment.Counters->counter("snapshots_unconfirmed_total");
    base::log(base::LogLevel::Warning,
              "starting from a snapshot without a second source",
              {{"offset", std::to_string(state.offset())},
               {"writer", Candidate->Writer}});
  }
  PendingRecords.clear();
  AppliedFold = std::move(Candidate->State);
  Candidate.reset();
  AppliedFoldHash = AppliedFold.hash();
  traceState();
  announceHeldOffset({});
  reportFold();
  return true;
}

void FleetNode::writeSnapshotIfDue() {
  auto now = Environment.Time->now();
  if (!RecoveryProcess.isServing() || now < NextSnapshotCheck ||
      !PendingParts.empty())
    return;
  NextSnapshotCheck = now + SnapshotCheckPeriod;
  auto candidates = fleet::Replicator::tailers(
      Members.table().all(), Environment.TailersPerDataCentre);
  const auto &self = Environment.Self;
  bool isCandidate = std::find(candidates.begin(), candidates.end(), self.Id) !=
                     candidates.end();
  if (!isCandidate ||
      !Snapshots.shouldWrite(AppliedFold.offset(), candidates, now))
    return;
  Snapshots.writeStarted(now);
  PendingSnapshotOffset = AppliedFold.offset();
  AllPartsAccepted = true;
  for (const auto &it :
       log::makeSnapshotParts(AppliedFold, {"", self.Id, self.Gossip.Host}))
    PendingParts.push_back(log::encodeRecord(it));
  appendNextPart();
}

/// Records that a snapshot of this node is complete in the log. The records it
/// covers are dropped, unless a peer's fold differs.
void FleetNode::snapshotWritten(log::Offset at) {
  Snapshots.snapshotSeen(at, Environment.Time->now());
  if (!IsFoldDisputed)
    Environment.Platform->truncateUpTo(at);
}

/// If an answer was lost, the snapshot is known to be complete only when its
/// parts are read back.
void FleetNode::partAppended(const log::AppendAnswer &answer) {
  using Kind = log::AppendAnswer::Kind;
  AllPartsAccepted &= answer.Outcome == Kind::Accepted;
  // Without a refused part the rest is useless; the policy retries later.
  if (answer.Outcome == Kind::Refused)
    PendingParts.clear();
  if (PendingParts.empty() && AllPartsAccepted)
    snapshotWritten(PendingSnapshotOffset);
  appendNextPart();
}

void FleetNode::appendNextPart() {
  if (PendingParts.empty())
    return;
  auto bytes = std::move(PendingParts.front());
  PendingParts.pop_front();
  *Bytes.Sent += bytes.size() + RecordOverheadBytes;
  Environment.Platform->append(
      std::move(bytes), [weak = weak_from_this()](const log::AppendAnswer &it) {
        auto self = weak.lock();
        if (self && !self->HasLeft)
          self->partAppended(it);
      });
}

} // namespace radishcross::peer
