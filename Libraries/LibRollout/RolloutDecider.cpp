#include <LibRollout/RolloutDecider.h>

#include <LibRollout/StepPlan.h>
#include <LibRollout/VersionGate.h>

#include <algorithm>

namespace radishcross::rollout {

namespace {

constexpr int64_t FullPermille = 1000;

base::Duration part(base::Duration period, uint32_t permille) {
  return period / FullPermille * permille;
}

} // namespace

RolloutDecider::RolloutDecider(const Bounds &bounds) : Limits(bounds) {}

void RolloutDecider::ordered(const Order &order, base::TimePoint now) {
  if (Current && order.At <= Current->At)
    return;
  Current = order;
  OrderSeen = now;
  Answers = {};
  Fault.reset();
  IsHalted = false;
  Known.reset();
  LastMove.reset();
  MustRead = true;
}

void RolloutDecider::targets(size_t newReady, size_t oldListed) {
  NewTargets = newReady;
  OldTargets = oldListed;
}

void RolloutDecider::counted(const NodeCounts &counts, base::TimePoint now) {
  if (!Current || counts.OrderAt != Current->At)
    return;
  Answers.add(counts, now);
  const bool wasStopped = IsHalted || Fault;
  IsHalted = IsHalted || counts.IsHalted;
  if (!Fault)
    Fault = Answers.findFault(now);
  // The nodes are told at once, whether or not the store can be written.
  if (!wasStopped && (Fault || IsHalted))
    ToldAt = {};
}

void RolloutDecider::take(const StoredProgress &progress, base::TimePoint now) {
  if (!Current || progress.Value.OrderAt != Current->At ||
      (Known && progress.Offset <= Known->Offset))
    return;
  Known = progress;
  KnownSince = now;
  ToldAt = {};
}

void RolloutDecider::readDone(const ReadAnswer &answer, base::TimePoint now) {
  IsBusy = false;
  if (!answer.Reached) {
    NotBefore = now + RetryDelay;
    return;
  }
  // An order that came meanwhile is read for anew.
  if (!Current || BusyFor != Current->At)
    return;
  MustRead = false;
  End = answer.End;
  ConfirmedAt = SentAt;
  if (answer.Newest)
    take(*answer.Newest, now);
}

void RolloutDecider::writeDone(const WriteAnswer &answer, base::TimePoint now) {
  IsBusy = false;
  // Others may have written, or this write may still take effect.
  MustRead = true;
  if (answer.Outcome != WriteAnswer::Kind::Accepted) {
    NotBefore = now + RetryDelay;
    return;
  }
  if (!Current || BusyFor != Current->At || !Pending)
    return;
  MustRead = false;
  End = answer.Offset + 1;
  ConfirmedAt = SentAt;
  LastMove = PendingWhy;
  take({answer.Offset, *Pending}, now);
}

base::Duration RolloutDecider::age(base::TimePoint now) const {
  auto it = now - OrderSeen;
  // A node that was started later knows the order's age from the state.
  if (Known)
    it = std::max(it, Known->Value.Age + (now - KnownSince));
  return it;
}

/// Returns whether the new targets have at least half of the capacity, which
/// must be there before the old ones are given up.
bool RolloutDecider::hasCapacity() const {
  return NewTargets > 0 && NewTargets * 2 >= OldTargets;
}

bool RolloutDecider::isProven(base::TimePoint now) const {
  if (Answers.newAnswers().Answers >= LeastProof)
    return true;
  // A service with few calls cannot exceed the slack even if all of them go to
  // a bad version.
  const auto elapsed = std::max<int64_t>((now - OrderSeen).count(), 1);
  const auto left = (Current->Period - age(now)).count();
  const auto total =
      Answers.newAnswers().Answers + Answers.oldAnswers().Answers;
  const auto expected = static_cast<double>(total) * static_cast<double>(left) /
                        static_cast<double>(elapsed);
  return expected * 2 <= static_cast<double>(Limits.ExposureSlack);
}

/// Returns whether the bound on exposure holds if the version is bad in \p step
/// and is stopped once the evidence is there. Where few calls bring few answers
/// in the canary steps, this lets the version go on and be proven there.
bool RolloutDecider::isAffordable(uint32_t step, base::TimePoint now) const {
  const auto elapsed = std::max<int64_t>((now - OrderSeen).count(), 1);
  const auto total =
      Answers.newAnswers().Answers + Answers.oldAnswers().Answers;
  const auto untilStopped = total * static_cast<uint64_t>(StopTime.count()) /
                            static_cast<uint64_t>(elapsed) *
                            StepPlan::sharePermille(step, Limits) /
                            FullPermille;
  const auto expected =
      Answers.newAnswers().Answers + Evidence::LeastAnswers + untilStopped;
  const auto allowed =
      total * Limits.ExposurePermille / FullPermille + Limits.ExposureSlack;
  return expected <= allowed;
}

std::optional<RolloutDecider::Move>
RolloutDecider::advance(Progress next, base::TimePoint now) const {
  const auto held = now - KnownSince;
  if (next.Step == StepPlan::FullStep) {
    if (age(now) < StepPlan::completionAge(Current->Period) ||
        held < part(Current->Period, LeastFullHoldPermille) || !hasCapacity() ||
        !isProven(now))
      return std::nullopt;
    next.State = Phase::Completed;
    return Move{next, Reason::Finished};
  }
  auto begin = StepPlan::beginOf(next.Step + 1, Current->Period);
  // Few calls need longer for the proof, which the last canary step won't
  // bring.
  if (next.Step == StepPlan::LastCanaryStep && !isProven(now))
    begin = (begin + StepPlan::beginOf(next.Step, Current->Period)) / 2;
  if (age(now) < begin || held < part(Current->Period, LeastHoldPermille))
    return std::nullopt;
  const bool mayLeaveCanary =
      hasCapacity() && (isProven(now) || isAffordable(next.Step + 1, now));
  if (next.Step >= StepPlan::LastCanaryStep && !mayLeaveCanary)
    return std::nullopt;
  ++next.Step;
  return Move{next, Reason::Proven};
}

std::optional<RolloutDecider::Move>
RolloutDecider::decide(base::TimePoint now) const {
  Progress next{Current->At, Current->Version, Phase::Running, 0, age(now)};
  if (!Known)
    return Move{next, Reason::Began};
  if (Known->Value.isFinal())
    return std::nullopt;
  next.Step = Known->Value.Step;
  const auto back = [&next](Reason why) {
    next.State = Phase::RolledBack;
    return Move{next, why};
  };
  if (Fault)
    return back(Reason::Fault);
  if (IsHalted)
    return back(Reason::Halted);
  if (age(now) >= Current->Period)
    return back(Reason::Overdue);
  return advance(next, now);
}

void RolloutDecider::tellIfDue(std::vector<Action> &actions,
                               base::TimePoint now) {
  const bool isTold =
      ToldAt != base::TimePoint{} && now - ToldAt < TellInterval;
  if (!Known || isTold)
    return;
  if (!Known->Value.isFinal() && (Fault || IsHalted)) {
    Action halt;
    halt.What = Action::Kind::Halt;
    halt.OrderAt = Current->At;
    actions.push_back(halt);
    ToldAt = now;
    return;
  }
  // A state that is not confirmed must not extend the nodes' leases.
  if (!Known->Value.isFinal() && now - ConfirmedAt >= VersionGate::LeaseTime)
    return;
  Action tell;
  tell.What = Action::Kind::Tell;
  tell.Told = *Known;
  tell.Age = now - ConfirmedAt;
  tell.OrderAt = Current->At;
  actions.push_back(tell);
  ToldAt = now;
}

std::vector<Action> RolloutDecider::tick(base::TimePoint now) {
  std::vector<Action> actions;
  if (!Current || !IsAppointed)
    return actions;
  tellIfDue(actions, now);
  if (IsBusy || now < NotBefore)
    return actions;
  const bool isFinal = Known && Known->Value.isFinal();
  Action call;
  if (MustRead || (!isFinal && now - ConfirmedAt >= ConfirmInterval)) {
    call.What = Action::Kind::Read;
  } else if (const auto move = decide(now)) {
    call.What = Action::Kind::Write;
    call.At = End;
    call.Value = move->Next;
    Pending = move->Next;
    PendingWhy = move->Why;
  } else {
    return actions;
  }
  IsBusy = true;
  BusyFor = Current->At;
  SentAt = now;
  actions.push_back(call);
  return actions;
}

} // namespace radishcross::rollout
