#include <LibBase/Hash.h>
#include <LibLog/SnapshotPolicy.h>

#include <algorithm>

namespace radishcross::log {

namespace {

constexpr uint64_t IntervalRecords = 5000;
constexpr base::Duration IntervalTime = std::chrono::minutes(30);
constexpr uint64_t FirstIntervalRecords = 1000;
constexpr base::Duration FirstIntervalTime = std::chrono::minutes(5);

/// Time within which a writer should have read its own snapshot back.
constexpr base::Duration OwnSnapshotTimeout = std::chrono::seconds(60);

/// A candidate's turn ends after this many records or this time.
constexpr uint64_t TurnRecords = 50;
constexpr base::Duration TurnTime = std::chrono::seconds(10);

} // namespace

void SnapshotPolicy::snapshotSeen(Offset at, base::TimePoint now) {
  // A writer that was paused may append a snapshot of an older state; it does
  // not replace a newer one.
  if (at <= LastAt)
    return;
  LastAt = at;
  LastSeen = now;
  SilentUntil.reset();
  DueSince.reset();
}

bool SnapshotPolicy::isDue(Offset offset, base::TimePoint now) const {
  if (offset <= LastAt)
    return false;
  // FIXME: The parts of the last snapshot and the drops that followed count as
  // growth, so an idle log still gets a snapshot every IntervalTime.
  bool isFirst = LastAt == 0;
  return offset - LastAt >=
             (isFirst ? FirstIntervalRecords : IntervalRecords) ||
         now - *LastSeen >= (isFirst ? FirstIntervalTime : IntervalTime);
}

size_t
SnapshotPolicy::turnOf(const std::vector<std::string> &candidates) const {
  std::string key = "snapshot-" + std::to_string(LastAt);
  uint64_t own = base::rendezvousWeight(key, Self);
  return std::count_if(candidates.begin(), candidates.end(),
                       [&](const std::string &it) {
                         uint64_t weight = base::rendezvousWeight(key, it);
                         return weight > own || (weight == own && it < Self);
                       });
}

bool SnapshotPolicy::shouldWrite(Offset offset,
                                 const std::vector<std::string> &candidates,
                                 base::TimePoint now) {
  if (!LastSeen)
    LastSeen = now;
  if (!isDue(offset, now) || (SilentUntil && now < *SilentUntil)) {
    DueSince.reset();
    return false;
  }
  if (!DueSince) {
    DueSince = now;
    DueAt = offset;
  }
  size_t turn = turnOf(candidates);
  return offset - DueAt >= turn * TurnRecords ||
         now - *DueSince >= TurnTime * static_cast<int64_t>(turn);
}

void SnapshotPolicy::writeStarted(base::TimePoint now) {
  SilentUntil = now + OwnSnapshotTimeout;
  DueSince.reset();
}

} // namespace radishcross::log
