#include <LibLog/SnapshotKeeper.h>

#include <utility>

namespace radishcross::log {

namespace {

/// Stands in every record of a snapshot's part as encodeRecord() writes it, so
/// that other records need not be decoded a second time.
constexpr std::string_view SnapshotMark = "\"kind\":\"snapshot\"";

} // namespace

SnapshotKeeper::SnapshotKeeper(std::string self) : Policy(std::move(self)) {}

void SnapshotKeeper::recordRead(const StoredRecord &record,
                                base::TimePoint now) {
  if (record.Bytes.find(SnapshotMark) == std::string::npos)
    return;
  base::LastReason reason;
  auto decoded = decodeRecord(record.Bytes, reason);
  if (!decoded || decoded->Kind != RecordKind::Snapshot)
    return;
  auto found = Assembler.take(*decoded, record.At, reason);
  if (!found) {
    Rejected += reason.code() == base::ResultCode::SnapshotMismatch ? 1 : 0;
    return;
  }
  auto at = found->State.offset();
  auto hash = found->State.hash();
  if (Witness.judge(found->Writer, at, hash) == Belief::Refuted) {
    ++Rejected;
    return;
  }
  Witness.noteOther(found->Writer, at, hash);
  Policy.snapshotSeen(at, found->FirstPartAt, now);
  if (!Newest || Newest->State.offset() <= at)
    Newest = std::move(*found);
}

void SnapshotKeeper::foldAdvanced(Offset at, uint64_t hash) {
  Witness.noteOwn(at, hash);
  // A node that has a state needs no snapshot to start from.
  Newest.reset();
}

void SnapshotKeeper::peerSaid(std::string_view node, Offset at, uint64_t hash) {
  Witness.noteOther(node, at, hash);
}

std::vector<std::string>
SnapshotKeeper::write(const Fold &fold, const LogWindow &window,
                      const std::vector<std::string> &candidates,
                      const Author &by, base::TimePoint now) {
  std::vector<std::string> out;
  if (!Policy.shouldWrite(fold.offset(), window, candidates, now))
    return out;
  Policy.writing(now);
  for (const auto &it : makeSnapshotParts(fold, by))
    out.push_back(encodeRecord(it));
  return out;
}

std::optional<SnapshotKeeper::Found> SnapshotKeeper::takeNewest() {
  if (!Newest)
    return std::nullopt;
  auto snapshot = std::move(*Newest);
  Newest.reset();
  auto trust = Witness.judge(snapshot.Writer, snapshot.State.offset(),
                             snapshot.State.hash());
  if (trust == Belief::Refuted)
    return std::nullopt;
  return Found{std::move(snapshot), trust};
}

} // namespace radishcross::log
