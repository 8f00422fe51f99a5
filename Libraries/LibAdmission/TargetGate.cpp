#include <LibAdmission/TargetGate.h>

#include <LibAdmission/Patience.h>

#include <algorithm>
#include <utility>

namespace radishcross::admission {

namespace {

using base::Duration;
using base::ResultCode;
using config::Rank;
using fleet::TargetState;

/// Targets with fewer slots reserve none.
constexpr uint32_t MinimumSlotsForReserve = 4;

/// Bounds of the wait under overload, see overloadPatienceOf().
constexpr Duration MinimumPatience = std::chrono::milliseconds(10);
constexpr int64_t PatienceInCalls = 2;
constexpr int64_t PatienceInFloorIntervals = 3;

constexpr Duration MinimumRetryAfter = std::chrono::seconds(1);
/// Rank by which nested calls are scheduled.
constexpr Rank NestedRank = Rank::Critical;

constexpr Duration MaximumRetryAfter = std::chrono::seconds(30);
/// Minimum retry-after of a call with a latency objective.
constexpr Duration MinimumObjectiveRetryAfter = std::chrono::milliseconds(50);

constexpr uint32_t FullPermille = 1000;
/// Shares of slots or tokens in use and of queued calls in the pressure.
constexpr uint32_t SlotsPressurePermille = 800;
constexpr uint32_t QueuePressurePermille = 200;

/// View of the calls started lately.
constexpr Duration RecentWindow = std::chrono::seconds(1);

size_t indexOf(Rank rank) { return static_cast<size_t>(rank); }

ResultCode refusalOf(TargetState state) {
  return state == TargetState::Starting ? ResultCode::NoTarget
                                        : ResultCode::Draining;
}

} // namespace

TargetGate::TargetGate(std::string targetId, trace::Recorder &recorder)
    : TargetId(std::move(targetId)), Record(&recorder) {}

void TargetGate::configure(const TargetGateSettings &settings,
                           base::TimePoint now) {
  Settings = settings;
  const auto &limits = settings.Limits;
  Adaptive.setAnnounced(std::min(settings.Slots, settings.Connections));
  Scheduler.setLimits(limits);
  Queue.setLimits(limits);
  if (settings.State != TargetState::Ready)
    for (const auto &it : Queue.clear())
      Answers.push_back(
          refusal(it.Call, refusalOf(settings.State), RefusalCause::State));
  recordEvent(AdmissionEvent::Configure,
              {settings.Slots, settings.Connections,
               static_cast<int64_t>(settings.State), limits.QueueLength,
               limits.StandardFloorPercent, limits.BackgroundFloorPercent},
              {}, now);
}

GateAnswer TargetGate::arrive(Ticket call, Rank rank, Duration remaining,
                              uint64_t fingerprint, base::TimePoint now,
                              Duration objective, bool isNested,
                              Duration linkTime, bool canGoElsewhere) {
  WaitingCall arrived;
  arrived.Call = call;
  arrived.CallRank = isNested ? NestedRank : rank;
  arrived.ArrivedAt = now;
  arrived.Fingerprint = fingerprint;
  arrived.LatencyObjective = objective;
  arrived.IsNested = isNested;
  arrived.LinkTime = linkTime;
  arrived.CanGoElsewhere = canGoElsewhere;
  arrived.Expected = Times.expected(arrived.CallRank, objective, now);
  arrived.Patience = patienceOf(arrived, remaining);
  arrived.LatestStart = now + arrived.Patience;
  auto found = view(now);
  found.ExpectedWait = estimateFor(arrived, now).Wait;
  auto out = decideArrival(arrived, remaining, now);
  out.Found = found;
  out.Found.Expected = Times.learnt(arrived.CallRank, objective);
  out.IsNested = isNested;
  recordEvent(AdmissionEvent::Arrive,
              {static_cast<int64_t>(call), static_cast<int64_t>(rank),
               remaining.count(), objective.count(),
               (isNested ? 1 : 0) + (canGoElsewhere ? 2 : 0), linkTime.count()},
              {static_cast<int64_t>(out.What), static_cast<int64_t>(out.Code),
               out.RetryAfter.count()},
              now);
  return out;
}

GateAnswer TargetGate::decideArrival(const WaitingCall &call,
                                     Duration remaining, base::TimePoint now) {
  const auto rank = call.CallRank;
  Demand.arrived(rank, call.LatencyObjective, now);
  if (Settings.State != TargetState::Ready)
    return refusal(call.Call, refusalOf(Settings.State), RefusalCause::State);
  if (remaining <= Duration::zero())
    return refusal(call.Call, ResultCode::DeadlineExceeded,
                   RefusalCause::Deadline);
  // One call always runs, so that a change of times and sizes is noticed.
  if (!Running.empty() && isTooLateOnLink(call, remaining))
    return GateAnswer::refuse(
        call.Call, ResultCode::Overloaded,
        std::clamp(call.LinkTime, MinimumObjectiveRetryAfter,
                   std::max(remaining / calls::RetryAfterDivisor,
                            MinimumObjectiveRetryAfter)),
        RefusalCause::Link);
  Demand.admissible(rank, call.LatencyObjective, now);
  if (mayStart(call, now) && !isBehindOthers(call)) {
    start(call, now);
    return GateAnswer::accept(GateAnswer::Kind::Run, call.Call);
  }
  if (call.LatencyObjective > Duration::zero())
    return decideQueueing(call, remaining, now);
  const auto wait =
      Limiter.waitFor(Queue.callsBefore(call) + reservedTokens(call, now), now);
  if (wait < call.Patience)
    return enqueue(call);
  return GateAnswer::refuse(
      call.Call, ResultCode::Overloaded,
      std::clamp(wait, MinimumRetryAfter, MaximumRetryAfter),
      RefusalCause::Wait);
}

/// Queues a call with a latency objective if it is expected to meet that, and
/// refuses it at once otherwise.
GateAnswer TargetGate::decideQueueing(const WaitingCall &call,
                                      Duration remaining, base::TimePoint now) {
  const auto wait = estimateFor(call, now).Wait;
  if (wait < call.Patience)
    return enqueue(call);
  const auto most = std::max(remaining / calls::RetryAfterDivisor,
                             MinimumObjectiveRetryAfter);
  const auto retryAfter =
      std::clamp(wait - call.Patience, MinimumObjectiveRetryAfter, most);
  return GateAnswer::refuse(call.Call, ResultCode::Overloaded, retryAfter,
                            RefusalCause::Wait);
}

balance::TimeEstimate TargetGate::estimateFor(const WaitingCall &call,
                                              base::TimePoint now) const {
  balance::WorkAhead work;
  work.Slots = limit();
  work.HasFreeSlot = mayStart(call, now) && !isBehindOthers(call);
  work.Queued = Queue.workBefore(call);
  work.SlotTime = call.Expected;
  work.RateWait =
      Limiter.waitFor(Queue.callsBefore(call) + reservedTokens(call, now), now);
  work.LinkTime = call.LinkTime;
  return balance::estimateTime(work);
}

GateAnswer TargetGate::enqueue(const WaitingCall &call) {
  const auto shed = Queue.push(call);
  if (shed && shed->Call == call.Call)
    return refusal(call.Call, ResultCode::Overloaded, RefusalCause::QueueFull);
  if (shed)
    Answers.push_back(
        refusal(shed->Call, ResultCode::Overloaded, RefusalCause::QueueFull));
  return GateAnswer::accept(GateAnswer::Kind::Queued, call.Call);
}

bool TargetGate::signalled(Ticket call, const balance::TargetSignals &signals,
                           base::TimePoint now) {
  const auto it = Running.find(call);
  if (it == Running.end())
    return false;
  const bool isLimited = signals.RateLimit || Stated.rate();
  const bool out = Stated.answered(signals, it->second.StartedAt, now);
  if (out)
    Limiter.setRate(Stated.rate(), now);
  if (isLimited)
    recordEvent(AdmissionEvent::Signalled,
                {static_cast<int64_t>(call), balance::flagsOf(signals),
                 signals.RateLimit.value_or(0)},
                {out ? 1 : 0}, now);
  return out;
}

void TargetGate::reported(balance::MilliRate rate, base::TimePoint now) {
  if (!Stated.reported(rate))
    return;
  const bool wasLimited = Limiter.isLimited();
  Limiter.setRate(Stated.rate(), now);
  // The report may be out of date; the answer to one call tells.
  if (!wasLimited)
    Limiter.grant(now);
  recordEvent(AdmissionEvent::Reported, {rate}, {}, now);
}

void TargetGate::processChanged(base::TimePoint now) {
  Stated = {};
  Refusals = {};
  Limiter.setRate({}, now);
  recordEvent(AdmissionEvent::ProcessChanged, {}, {}, now);
}

std::vector<GateAnswer> TargetGate::ended(Ticket call, calls::AttemptEnd end,
                                          base::TimePoint now,
                                          balance::RefusalKind refusal,
                                          base::Duration awaitedReader,
                                          std::optional<uint32_t> pacePercent) {
  const auto it = Running.find(call);
  if (it == Running.end())
    return {};
  auto finished = it->second;
  finished.StartedAt += awaitedReader;
  Running.erase(it);
  finish(finished, end, refusal, now);
  if (pacePercent)
    Times.paceStated(*pacePercent, now);
  refuseExpired(now);
  fillSlots(now);
  auto out = takeAnswers();
  recordEvent(AdmissionEvent::Ended,
              {static_cast<int64_t>(call), static_cast<int64_t>(end),
               static_cast<int64_t>(refusal), awaitedReader.count(),
               pacePercent.value_or(0)},
              summaryOf(out), now);
  return out;
}

void TargetGate::finish(const RunningCall &call, calls::AttemptEnd end,
                        balance::RefusalKind refusal, base::TimePoint now) {
  const auto taken = now - call.StartedAt;
  Scheduler.ended(call.CallRank, call.Charged, taken, Demand.ranks(now));
  if (end == calls::AttemptEnd::RefusedNotRun &&
      refusal == balance::RefusalKind::Full)
    Adaptive.refused();
  if (end != calls::AttemptEnd::Answered)
    return;
  Refusals.answered();
  // The time of calls with an objective includes that of their downstream
  // calls, which says nothing about this target.
  const bool hasObjective = call.LatencyObjective > Duration::zero();
  Adaptive.answered(call.CallRank, taken, call.Saturated && !hasObjective);
  Times.observed(call.CallRank, call.LatencyObjective, taken, call.PacePercent);
}

void TargetGate::abandoned(Ticket call, base::TimePoint now) {
  if (Queue.remove(call))
    recordEvent(AdmissionEvent::Abandoned, {static_cast<int64_t>(call)}, {},
                now);
}

std::vector<GateAnswer> TargetGate::tick(base::TimePoint now) {
  refuseExpired(now);
  fillSlots(now);
  auto out = takeAnswers();
  if (!out.empty())
    recordEvent(AdmissionEvent::Tick, {}, summaryOf(out), now);
  return out;
}

void TargetGate::fillSlots(base::TimePoint now) {
  if (Settings.State != TargetState::Ready)
    return;
  auto eligible = Queue.waiting();
  while (const auto rank = Scheduler.next(eligible)) {
    const auto *next = Queue.next(*rank, now);
    if (!next || !mayStart(*next, now)) {
      eligible[indexOf(*rank)] = false;
      continue;
    }
    const auto call = Queue.pop(*rank, now);
    start(*call, now);
    Answers.push_back(GateAnswer::accept(GateAnswer::Kind::Run, call->Call));
    eligible = Queue.waiting();
  }
}

bool TargetGate::mayStart(const WaitingCall &call, base::TimePoint now) const {
  const auto rank = call.CallRank;
  const uint32_t slots = limit();
  if (Running.size() >= slots || !hasToken(call, now))
    return false;
  return Scheduler.hasCredit(rank) ||
         Running.size() + reservedSlots(rank, now) < slots;
}

/// Returns whether queued calls go before one that arrives.
bool TargetGate::isBehindOthers(const WaitingCall &call) const {
  return Limiter.isLimited() ? Queue.callsBefore(call) > 0
                             : Queue.waiting()[indexOf(call.CallRank)];
}

bool TargetGate::hasToken(const WaitingCall &call, base::TimePoint now) const {
  if (!Limiter.isLimited())
    return true;
  if (!Scheduler.hasCredit(call.CallRank) && isUrgentCallWaiting(call.CallRank))
    return false;
  return Limiter.isAvailable(reservedTokens(call, now), now);
}

/// Returns the tokens that a call has to leave to others: one while a more
/// urgent rank is in demand, or calls with a shorter objective, which mostly
/// cannot wait for the next token.
uint32_t TargetGate::reservedTokens(const WaitingCall &call,
                                    base::TimePoint now) const {
  const auto rank = indexOf(call.CallRank);
  if (!Limiter.isLimited() || Scheduler.hasCredit(call.CallRank))
    return 0;
  const auto wanted = Demand.ranks(now);
  for (size_t it = 0; it < rank; ++it)
    if (wanted[it])
      return 1;
  return Demand.isShorterInDemand(call.CallRank, call.LatencyObjective, now)
             ? 1
             : 0;
}

bool TargetGate::isUrgentCallWaiting(Rank rank) const {
  const auto waiting = Queue.waiting();
  const auto end = waiting.begin() + static_cast<ptrdiff_t>(indexOf(rank));
  return std::find(waiting.begin(), end, true) != end;
}

uint32_t TargetGate::reservedSlots(Rank rank, base::TimePoint now) const {
  if (limit() < MinimumSlotsForReserve)
    return 0;
  const auto wanted = Demand.ranks(now);
  // A call with an objective can wait for the next slot.
  for (size_t it = 0; it < indexOf(rank); ++it)
    if (wanted[it] && !Demand.hasObjective(static_cast<Rank>(it)))
      return 1;
  return 0;
}

void TargetGate::start(const WaitingCall &call, base::TimePoint now) {
  const auto rank = call.CallRank;
  Scheduler.started(rank, call.Expected, Demand.ranks(now));
  Limiter.take(now);
  const bool saturated =
      Running.size() + 1 + reservedSlots(rank, now) >= limit();
  Running[call.Call] = {
      rank,      call.LatencyObjective, call.Fingerprint, now, call.Expected,
      saturated, Times.pace(now)};
  while (!RecentStarts.empty() && now - RecentStarts.front() >= RecentWindow)
    RecentStarts.pop_front();
  RecentStarts.push_back(now);
}

void TargetGate::refuseExpired(base::TimePoint now) {
  std::array<Duration, config::RankCount> patience{};
  for (size_t it = 0; it < patience.size(); ++it)
    patience[it] = overloadPatienceOf(static_cast<Rank>(it), now);
  for (const auto &it : Queue.expire(patience, now)) {
    const bool late =
        now >= it.LatestStart && it.LatencyObjective <= Duration::zero();
    Answers.push_back(refusal(
        it.Call, late ? ResultCode::DeadlineExceeded : ResultCode::Overloaded,
        RefusalCause::Waited));
  }
}

/// Returns how long a call may wait under overload: the time of a few calls, or
/// for a rank with a floor a few intervals between calls served by the floor.
Duration TargetGate::overloadPatienceOf(Rank rank, base::TimePoint now) const {
  const auto expected = Times.expected(rank, {}, now);
  const auto out = std::max(MinimumPatience, expected * PatienceInCalls);
  const auto &limits = Settings.Limits;
  const uint32_t floors[] = {0, limits.StandardFloorPercent,
                             limits.BackgroundFloorPercent};
  const uint32_t floor = floors[indexOf(rank)];
  if (floor == 0)
    return out;
  const auto turn = expected * 100 / (int64_t{limit()} * floor);
  return std::max(out, turn * PatienceInFloorIntervals);
}

GateAnswer TargetGate::refusal(Ticket call, ResultCode code,
                               RefusalCause why) const {
  return GateAnswer::refuse(call, code, retryAfter(), why);
}

/// Returns the time after which a refused caller may retry: when the calls now
/// in flight are expected to have ended, in whole seconds.
Duration TargetGate::retryAfter() const {
  const auto wait =
      Times.longest() * static_cast<int64_t>(inFlight()) / limit();
  return std::clamp(std::chrono::ceil<std::chrono::seconds>(wait) + Duration{},
                    MinimumRetryAfter, MaximumRetryAfter);
}

uint32_t TargetGate::limit() const { return Adaptive.current(); }

GateView TargetGate::view(base::TimePoint now) const {
  const auto recent = std::find_if(
      RecentStarts.begin(), RecentStarts.end(),
      [now](base::TimePoint it) { return now - it < RecentWindow; });
  return {static_cast<uint32_t>(Running.size()),
          limit(),
          static_cast<uint32_t>(Queue.size()),
          static_cast<uint32_t>(Queue.capacity()),
          static_cast<uint32_t>(RecentStarts.end() - recent),
          Stated.rate()};
}

uint32_t TargetGate::pressurePermille(base::TimePoint now) const {
  const size_t slots = limit();
  const size_t queue = std::max<size_t>(Queue.capacity(), 1);
  const size_t used = std::min(Running.size(), slots);
  const size_t waiting = std::min(Queue.size(), queue);
  const auto bySlots =
      static_cast<uint32_t>(used * SlotsPressurePermille / slots);
  const auto byRate =
      Limiter.usedPermille(now) * SlotsPressurePermille / FullPermille;
  return std::max(bySlots, byRate) +
         static_cast<uint32_t>(waiting * QueuePressurePermille / queue);
}

std::vector<uint64_t> TargetGate::runningFingerprints() const {
  std::vector<uint64_t> out;
  out.reserve(Running.size());
  for (const auto &it : Running)
    out.push_back(it.second.Fingerprint);
  return out;
}

uint64_t TargetGate::fingerprintOf(Ticket call) const {
  const auto it = Running.find(call);
  return it == Running.end() ? 0 : it->second.Fingerprint;
}

std::vector<GateAnswer> TargetGate::takeAnswers() {
  return std::exchange(Answers, {});
}

trace::Outcome
TargetGate::summaryOf(const std::vector<GateAnswer> &answers) const {
  int64_t tickets = 0;
  for (const auto &it : answers)
    tickets += static_cast<int64_t>(it.Call);
  return {static_cast<int64_t>(answers.size()), tickets, int64_t{limit()}};
}

void TargetGate::recordEvent(AdmissionEvent::Value event,
                             const trace::Inputs &numbers,
                             const trace::Outcome &decided,
                             base::TimePoint now) {
  trace::Entry entry;
  entry.AtMicroseconds = now.time_since_epoch().count();
  entry.Source = trace::Module::Admission;
  entry.Event = event;
  entry.Numbers = numbers;
  entry.Text = TargetId;
  entry.Decided = decided;
  Record->record(std::move(entry));
}

} // namespace radishcross::admission
