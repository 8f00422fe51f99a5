#include <LibBase/Logger.h>
#include <LibPeer/FleetNode.h>

#include <algorithm>
#include <chrono>
#include <utility>

// The part of FleetNode that writes the fold's state to the log, so that what
// it covers may be dropped, and starts from such a state when nobody else has
// one.

namespace radishcross::peer {

namespace {

constexpr base::Duration LookPeriod = std::chrono::seconds(1);
/// How long a newcomer waits for a second source to confirm a snapshot before
/// it takes the newest sound one: a fleet that has lost every state would else
/// never come back.
constexpr base::Duration ConfirmationPatience = std::chrono::seconds(10);
constexpr size_t RecordOverheadBytes = 250; ///< HTTP's, request and answer.

bool isMaybeSnapshot(const log::StoredRecord &record) {
  return record.Bytes.find("\"snapshot\"") != std::string::npos;
}

} // namespace

void FleetNode::scanSnapshots(const std::vector<log::StoredRecord> &records) {
  auto now = Environment.Time->now();
  for (const auto &it : records) {
    base::LastReason reason;
    if (!isMaybeSnapshot(it))
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
    Witness.addReportedHash(found->Writer, found->State.offset(),
                            found->State.hash());
    if (!Recovering.needsState(heldOffset()) ||
        found->State.offset() <= heldOffset())
      continue;
    if (!Candidate)
      CandidateSince = now;
    if (!Candidate || found->State.offset() >= Candidate->State.offset())
      Candidate = std::move(found);
  }
}

bool FleetNode::startFromSnapshot() {
  if (!Candidate || !Recovering.needsState(heldOffset()))
    return false;
  const auto &state = Candidate->State;
  for (const auto &it : Members.table().all())
    Witness.addReportedHash(it.Identity.Id, it.ConfigOffset, it.FoldHash);
  auto belief = Witness.verify(Candidate->Writer, state.offset(), state.hash());
  auto now = Environment.Time->now();
  if (belief == log::HashVerdict::Refuted) {
    Candidate.reset();
    return false;
  }
  if (belief == log::HashVerdict::Unconfirmed) {
    if (now < CandidateSince + ConfirmationPatience)
      return false;
    ++Environment.Counters->counter("snapshots_unconfirmed_total");
    base::log(base::LogLevel::Warning,
              "starting from a snapshot without a second source",
              {{"offset", std::to_string(state.offset())},
               {"writer", Candidate->Writer}});
  }
  Waiting.clear();
  Held = std::move(Candidate->State);
  Candidate.reset();
  HeldHash = Held.hash();
  recordState();
  heldAdvanced({});
  reportFold();
  return true;
}

void FleetNode::writeSnapshotIfDue() {
  auto now = Environment.Time->now();
  if (!Recovering.isServing() || now < NextSnapshotLook || !Unwritten.empty())
    return;
  NextSnapshotLook = now + LookPeriod;
  auto candidates = fleet::Spreader::tailers(Members.table().all(),
                                             Environment.TailersPerDataCentre);
  const auto &self = Environment.Self;
  bool isCandidate = std::find(candidates.begin(), candidates.end(), self.Id) !=
                     candidates.end();
  if (!isCandidate || !Snapshots.shouldWrite(Held.offset(), candidates, now))
    return;
  Snapshots.writeStarted(now);
  WritingAt = Held.offset();
  AreWritten = true;
  for (const auto &it :
       log::makeSnapshotParts(Held, {"", self.Id, self.Gossip.Host}))
    Unwritten.push_back(log::encodeRecord(it));
  appendNextPart();
}

/// Notes that a snapshot of this node stands in the log whole; what it covers
/// is dropped, unless a peer's fold contradicts.
void FleetNode::snapshotWritten(log::Offset at) {
  Snapshots.snapshotSeen(at, Environment.Time->now());
  if (!IsFoldDisputed)
    Environment.Platform->truncateUpTo(at);
}

/// Where an answer was lost, the parts have to be read back to be known whole.
void FleetNode::partAppended(const log::AppendAnswer &answer) {
  using Kind = log::AppendAnswer::Kind;
  AreWritten &= answer.Outcome == Kind::Accepted;
  // A refused part makes the rest useless; the policy tries again later.
  if (answer.Outcome == Kind::Refused)
    Unwritten.clear();
  if (Unwritten.empty() && AreWritten)
    snapshotWritten(WritingAt);
  appendNextPart();
}

void FleetNode::appendNextPart() {
  if (Unwritten.empty())
    return;
  auto bytes = std::move(Unwritten.front());
  Unwritten.pop_front();
  *Bytes.Sent += bytes.size() + RecordOverheadBytes;
  Environment.Platform->append(
      std::move(bytes), [weak = weak_from_this()](const log::AppendAnswer &it) {
        auto self = weak.lock();
        if (self && !self->HasLeft)
          self->partAppended(it);
      });
}

} // namespace radishcross::peer
