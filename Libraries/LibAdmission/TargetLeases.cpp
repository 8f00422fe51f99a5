#include <LibAdmission/TargetLeases.h>

#include <algorithm>
#include <utility>

namespace radishcross::admission {

namespace {

using base::ResultCode;

trace::Entry entryOf(base::TimePoint now, uint8_t event,
                     std::string_view text) {
  trace::Entry out;
  out.AtMicroseconds = now.time_since_epoch().count();
  out.Source = trace::Module::TargetLease;
  out.Event = event;
  out.Text = text;
  return out;
}

} // namespace

TargetLeases::TargetLeases(trace::Recorder &recorder, base::Duration lifetime)
    : Lifetime(lifetime), Record(&recorder) {}

bool TargetLeases::heartbeat(const Heartbeat &heartbeat, base::TimePoint now,
                             base::LastReason &reason) {
  const auto &target = heartbeat.Target;
  const bool out = applyHeartbeat(heartbeat, now, reason);
  auto entry = entryOf(now, LeaseEvent::Heartbeat,
                       target.Where.text() + " " + target.TargetId);
  entry.Numbers = {static_cast<int64_t>(heartbeat.Incarnation),
                   static_cast<int64_t>(heartbeat.Sequence),
                   static_cast<int64_t>(target.State), target.Slots,
                   Lifetime.count()};
  entry.Decided = {out ? 0 : static_cast<int64_t>(reason.code())};
  Record->record(std::move(entry));
  return out;
}

bool TargetLeases::applyHeartbeat(const Heartbeat &heartbeat,
                                  base::TimePoint now,
                                  base::LastReason &reason) {
  const auto &target = heartbeat.Target;
  expireLeases(now);
  for (const auto &[id, it] : Leases)
    if (id != target.TargetId && it.Target.Where == target.Where &&
        it.Incarnation > heartbeat.Incarnation) {
      reason.fail(ResultCode::LeaseLapsed,
                  "target \"" + id + "\" has taken over the address");
      return false;
    }
  const bool known = Leases.contains(target.TargetId);
  if (!known && !forgetLapsed()) {
    reason.fail(ResultCode::PeerBusy,
                "the node has reached its limit of targets");
    return false;
  }
  auto &lease = Leases[target.TargetId];
  if (heartbeat.Incarnation < lease.Incarnation) {
    reason.fail(ResultCode::LeaseLapsed,
                "a later process of the target is already known");
    return false;
  }
  const bool isNewProcess = heartbeat.Incarnation > lease.Incarnation &&
                            heartbeat.Incarnation > lease.LeftUnixMs;
  if (known && !isNewProcess && heartbeat.Sequence <= lease.Sequence)
    return true;
  // A process that is leaving does not become ready again.
  auto state = target.State;
  if (known && !isNewProcess)
    state = std::max(state, lease.Target.State);
  Changed = true;
  const uint64_t epoch = lease.Target.Epoch;
  if (isNewProcess) {
    lease.AcceptsUntil.reset();
    lease.IsLeaving = false;
    lease.Proof = {};
  }
  lease.Proof.heartbeat(now);
  setState(lease, state, now);
  lease.Target = target;
  lease.Target.State = state;
  lease.Target.Epoch = isNewProcess ? heartbeat.Incarnation : epoch;
  lease.Incarnation = heartbeat.Incarnation;
  lease.Sequence = heartbeat.Sequence;
  lease.ExpiresAt = now + Lifetime;
  lease.Lapsed = false;
  for (auto &[id, it] : Leases)
    if (id != target.TargetId && it.Target.Where == target.Where)
      it.Lapsed = true;
  return true;
}

bool TargetLeases::leave(std::string_view targetId, base::TimePoint now,
                         uint64_t unixMs) {
  const auto it = Leases.find(targetId);
  const bool isKnown = it != Leases.end();
  auto entry = entryOf(now, LeaseEvent::Leave, targetId);
  entry.Numbers = {static_cast<int64_t>(unixMs)};
  entry.Decided = {isKnown ? 1 : 0};
  Record->record(std::move(entry));
  if (!isKnown) {
    recordUnknownLeave(targetId, unixMs);
    return false;
  }
  setState(it->second, fleet::TargetState::Left, now);
  Changed = true;
  return true;
}

bool TargetLeases::leaving(std::string_view targetId, uint64_t epoch,
                           base::TimePoint now) {
  const auto it = Leases.find(targetId);
  const bool isNews = it != Leases.end() && it->second.Target.Epoch == epoch &&
                      !it->second.IsLeaving;
  auto entry = entryOf(now, LeaseEvent::Leaving, targetId);
  entry.Numbers = {static_cast<int64_t>(epoch)};
  entry.Decided = {isNews ? 1 : 0};
  Record->record(std::move(entry));
  if (!isNews)
    return false;
  it->second.IsLeaving = true;
  setState(it->second, statedState(it->second, it->second.Target.State), now);
  Changed = true;
  return true;
}

/// Returns the state of a target that reports \p reported.
fleet::TargetState TargetLeases::statedState(const Lease &lease,
                                             fleet::TargetState reported) {
  return lease.IsLeaving ? std::max(reported, fleet::TargetState::Draining)
                         : reported;
}

/// A restarted node may receive a leave before heartbeats that were sent
/// earlier.
void TargetLeases::recordUnknownLeave(std::string_view targetId,
                                      uint64_t unixMs) {
  if (!forgetLapsed())
    return;
  auto &lease = Leases[std::string(targetId)];
  lease.Target.TargetId = targetId;
  lease.Target.State = fleet::TargetState::Left;
  lease.LeftUnixMs = unixMs;
  lease.Lapsed = true;
}

fleet::Departures TargetLeases::departures() const {
  std::vector<std::pair<uint64_t, std::string>> latest;
  for (const auto &[id, it] : Leases) {
    const bool leaves =
        it.IsLeaving || it.Target.State >= fleet::TargetState::Draining;
    const uint64_t epoch =
        std::max(it.LeftUnixMs, leaves ? it.Incarnation : uint64_t{0});
    if (epoch > 0)
      latest.emplace_back(epoch, id);
  }
  std::sort(latest.rbegin(), latest.rend());
  if (latest.size() > MaximumDepartures)
    latest.resize(MaximumDepartures);
  fleet::Departures out;
  for (auto &[epoch, id] : latest)
    out.emplace(std::move(id), epoch);
  return out;
}

size_t TargetLeases::restore(const fleet::Departures &departures,
                             base::TimePoint now) {
  size_t out = 0;
  for (const auto &[id, epoch] : departures) {
    const bool isNews = restoreOne(id, epoch, now);
    out += isNews ? 1 : 0;
    auto entry = entryOf(now, LeaseEvent::Restore, id);
    entry.Numbers = {static_cast<int64_t>(epoch)};
    entry.Decided = {isNews ? 1 : 0};
    Record->record(std::move(entry));
  }
  return out;
}

/// Returns whether the departure was news.
bool TargetLeases::restoreOne(const std::string &targetId, uint64_t epoch,
                              base::TimePoint now) {
  const auto it = Leases.find(targetId);
  if (it == Leases.end()) {
    recordUnknownLeave(targetId, epoch);
    return true;
  }
  auto &lease = it->second;
  if (lease.LeftUnixMs >= epoch)
    return false;
  lease.LeftUnixMs = epoch;
  if (lease.Incarnation <= epoch)
    setState(lease, std::max(lease.Target.State, fleet::TargetState::Draining),
             now);
  Changed = true;
  return true;
}

/// Sets the state; a ready target that starts to leave gets its grace period.
void TargetLeases::setState(Lease &lease, fleet::TargetState state,
                            base::TimePoint now) {
  const bool wasReady = lease.Target.State == fleet::TargetState::Ready;
  if (wasReady && state > fleet::TargetState::Ready)
    lease.AcceptsUntil = now + DrainGracePeriod;
  lease.Target.State = state;
}

std::optional<LeaseAnswer>
TargetLeases::announce(const Announcement &announcement, base::TimePoint now,
                       base::LastReason &reason) {
  const auto &target = announcement.Target;
  const auto out = decide(announcement, now, reason);
  auto entry = entryOf(now, LeaseEvent::Announce, target.TargetId);
  entry.Numbers = {static_cast<int64_t>(target.Epoch),
                   static_cast<int64_t>(target.State),
                   target.Slots,
                   target.Connections,
                   target.LoadPermille,
                   Lifetime.count()};
  entry.Decided = {out ? static_cast<int64_t>(out->Epoch) : 0,
                   out ? 0 : static_cast<int64_t>(reason.code())};
  Record->record(std::move(entry));
  return out;
}

std::optional<LeaseAnswer>
TargetLeases::decide(const Announcement &announcement, base::TimePoint now,
                     base::LastReason &reason) {
  const auto &target = announcement.Target;
  expireLeases(now);
  const auto it = Leases.find(target.TargetId);
  const bool known = it != Leases.end();
  if (target.Epoch == 0) {
    if (!known && !forgetLapsed())
      return reason.fail(ResultCode::PeerBusy,
                         "the node has reached its limit of targets");
    return grant(announcement, now);
  }
  if (!known || it->second.Lapsed || it->second.Target.Epoch != target.Epoch)
    return reason.fail(
        ResultCode::LeaseLapsed,
        "the lease of target \"" + target.TargetId +
            "\" has lapsed; announce the target again with epoch 0");
  const auto state = statedState(it->second, target.State);
  setState(it->second, state, now);
  it->second.Target = target;
  it->second.Target.State = state;
  it->second.ExpiresAt = now + Lifetime;
  return LeaseAnswer{target.Epoch, Lifetime};
}

/// Grants a new epoch. It is derived from the clock, so that an epoch granted
/// before a restart of the node's process is never granted again.
std::optional<LeaseAnswer> TargetLeases::grant(const Announcement &announcement,
                                               base::TimePoint now) {
  auto &lease = Leases[announcement.Target.TargetId];
  const auto byClock = static_cast<uint64_t>(now.time_since_epoch().count());
  const uint64_t epoch = std::max(lease.Target.Epoch + 1, byClock);
  lease.Target = announcement.Target;
  lease.Target.Epoch = epoch;
  // Departures of targets that hold an epoch are not remembered either.
  lease.Proof.give();
  lease.IsLeaving = false;
  lease.ExpiresAt = now + Lifetime;
  lease.Lapsed = false;
  return LeaseAnswer{epoch, Lifetime};
}

/// Removes lapsed leases when the table is full. A holder that resumes later is
/// refused all the same, because its epoch is unknown.
bool TargetLeases::forgetLapsed() {
  if (Leases.size() >= MaximumTargets)
    std::erase_if(Leases, [](const auto &it) { return it.second.Lapsed; });
  return Leases.size() < MaximumTargets;
}

bool TargetLeases::expireLeases(base::TimePoint now) {
  bool out = false;
  for (auto &it : Leases) {
    if (it.second.Lapsed || it.second.ExpiresAt > now)
      continue;
    it.second.Lapsed = true;
    out = true;
  }
  Changed = Changed || out;
  return out;
}

bool TargetLeases::tick(base::TimePoint now) {
  expireLeases(now);
  for (auto &[id, it] : Leases) {
    if (!it.AcceptsUntil || *it.AcceptsUntil > now)
      continue;
    it.AcceptsUntil.reset();
    Changed = true;
  }
  const bool out = Changed;
  Changed = false;
  auto entry = entryOf(now, LeaseEvent::Tick, {});
  entry.Decided = {out ? 1 : 0};
  if (out)
    Record->record(std::move(entry));
  return out;
}

void TargetLeases::drain(std::string_view targetId) {
  const auto it = Leases.find(targetId);
  if (it != Leases.end())
    it->second.DrainedByOperator = true;
  Record->record(entryOf({}, LeaseEvent::Drain, targetId));
}

void TargetLeases::drainAll() {
  AllDrained = true;
  Record->record(entryOf({}, LeaseEvent::DrainAll, {}));
}

void TargetLeases::awaitRestore(uint64_t startedUnixMs) {
  IsAwaitingRestore = true;
  StartedUnixMs = startedUnixMs;
}

void TargetLeases::restoreEnded(DepartureKnowledge knowledge) {
  IsAwaitingRestore = false;
  Knowledge = knowledge;
}

std::vector<fleet::TargetRecord> TargetLeases::inDoubt() const {
  std::vector<fleet::TargetRecord> out;
  if (IsAwaitingRestore || Knowledge != DepartureKnowledge::StoreOnly)
    return out;
  for (const auto &[id, it] : Leases)
    if (!it.Lapsed && it.Target.State == fleet::TargetState::Ready &&
        mayHaveLeft(it))
      out.push_back(it.Target);
  return out;
}

bool TargetLeases::proveAlive(std::string_view targetId, uint64_t epoch) {
  const auto it = Leases.find(targetId);
  if (it == Leases.end() || it->second.Target.Epoch != epoch ||
      it->second.Proof.isGiven())
    return false;
  it->second.Proof.give();
  Changed = true;
  return true;
}

/// Returns whether an earlier process of this node may have acknowledged that
/// the target is leaving.
bool TargetLeases::mayHaveLeft(const Lease &lease) const {
  if (IsAwaitingRestore)
    return true;
  const auto minTime = static_cast<uint64_t>(MinTimeToLeave.count());
  return Knowledge != DepartureKnowledge::Complete && !lease.Proof.isGiven() &&
         lease.Incarnation + minTime < StartedUnixMs;
}

/// Returns the record of a target as far as its state is known.
fleet::TargetRecord TargetLeases::reportedRecord(const Lease &lease) const {
  auto out = lease.Target;
  if (out.State == fleet::TargetState::Ready && mayHaveLeft(lease))
    out.State = fleet::TargetState::Starting;
  return out;
}

std::vector<fleet::TargetRecord> TargetLeases::current() const {
  std::vector<fleet::TargetRecord> out;
  for (const auto &it : Leases) {
    const auto &lease = it.second;
    if (lease.Lapsed)
      continue;
    auto target = reportedRecord(lease);
    const bool drained = AllDrained || lease.DrainedByOperator;
    if (drained && target.State != fleet::TargetState::Left)
      target.State = fleet::TargetState::Draining;
    out.push_back(std::move(target));
  }
  return out;
}

std::vector<fleet::TargetRecord>
TargetLeases::targetsForGate(base::TimePoint now) const {
  std::vector<fleet::TargetRecord> out;
  for (const auto &[id, lease] : Leases) {
    if (lease.Lapsed)
      continue;
    auto target = reportedRecord(lease);
    if (lease.AcceptsUntil && *lease.AcceptsUntil > now)
      target.State = fleet::TargetState::Ready;
    else if (lease.DrainedByOperator &&
             target.State < fleet::TargetState::Draining)
      target.State = fleet::TargetState::Draining;
    out.push_back(std::move(target));
  }
  return out;
}

} // namespace radishcross::admission
