#include <LibCalls/BrokerState.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <vector>

// The part of Broker that runs calls with an idempotency key once.

namespace radishcross::calls {

using base::ResultCode;

namespace {

using Ownership = KeyOwnership::Verdict::Kind;

/// Maximum length of an idempotency key, in bytes.
constexpr size_t MaximumKeyLength = 255;

} // namespace

CallStep Broker::State::planKeyed(CallHandle handle, OpenCall &call,
                                  const CallRequest &request,
                                  base::TimePoint now) {
  if (request.IdempotencyKey.size() > MaximumKeyLength)
    return refuse(ResultCode::BadRequest);
  if (call.Route.Allowed <= CallPlanner::HopMargin)
    return refuse(ResultCode::DeadlineExceeded);
  // A call must end before another node may become the owner of its key.
  call.Route.Allowed = std::min(call.Route.Allowed, Settings.KeyWindow / 2);
  call.Deadline = now + call.Route.Allowed;
  const auto owner = Owners.verdict(
      call.Route.ServiceName + "\n" + request.IdempotencyKey, now);
  if (owner.What == Ownership::Other && !request.FromMesh)
    return forward(call, owner);
  Keys.tick(now);
  const auto key = call.Route.ServiceName + "\n" + request.CallerService +
                   "\n" + request.Tenant + "\n" + request.IdempotencyKey;
  // A known key is answered from the table, even if this node may not run it.
  if (owner.What != Ownership::Own && !Keys.contains(key))
    return finish(CallOutcome::Unknown, ResultCode::IdempotencyOwnerLost,
                  std::max(owner.RetryAfter, DefaultRetryAfter));
  call.Key = key;
  call.KeyFingerprint = base::hash64(request.Host, request.Fingerprint);
  return beginKey(handle, call, now);
}

CallStep Broker::State::beginKey(CallHandle handle, OpenCall &call,
                                 base::TimePoint now) {
  CallStep out;
  switch (Keys.begin(call.Key, call.KeyFingerprint, handle, now)) {
  case KeyVerdict::Run:
    return runHere(handle, call, now);
  case KeyVerdict::Wait:
    Waiting.insert(handle);
    out.What = CallStep::Kind::Wait;
    return out;
  case KeyVerdict::Replay:
    call.Answer = Keys.answerOf(call.Key);
    return replay();
  case KeyVerdict::Mismatch:
    return refuse(ResultCode::IdempotencyMismatch);
  case KeyVerdict::Full:
    return refuse(ResultCode::Overloaded, DefaultRetryAfter);
  case KeyVerdict::Unknown:
    break;
  }
  return finish(CallOutcome::Unknown, ResultCode::CallOutcomeUnknown,
                Settings.KeyWindow);
}

CallStep Broker::State::runHere(CallHandle handle, OpenCall &call,
                                base::TimePoint now) {
  call.IsFirst = true;
  call.Step = Planner.begin(handle, call.Route, now);
  call.Step.StoreAnswer = call.Step.What == CallStep::Kind::Send;
  if (call.Step.What == CallStep::Kind::Finish)
    finishKey(call, now);
  return call.Step;
}

CallStep Broker::State::forward(const OpenCall &call,
                                const KeyOwnership::Verdict &owner) {
  CallStep out;
  out.What = CallStep::Kind::Forward;
  out.Attempt = 1;
  out.To.Node = owner.Node;
  out.To.DataCentre = Settings.DataCentre;
  out.To.Mesh = owner.Mesh;
  out.ServiceName = call.Route.ServiceName;
  out.CallRank = call.Route.CallRank;
  out.AttemptTimeout = call.Route.Allowed - CallPlanner::HopMargin;
  out.Remaining = out.AttemptTimeout;
  out.Retry = call.Route.WithinRetry;
  return out;
}

/// If the owner was lost, an earlier call of the key may have run there, even
/// if this one was not sent.
CallStep Broker::State::afterForward(const AttemptResult &result) {
  if (result.End == AttemptEnd::Answered)
    return finish(CallOutcome::Answered, ResultCode::Ok);
  if (result.End == AttemptEnd::RefusedNotRun)
    return refuse(result.Code, std::max(result.RetryAfter, DefaultRetryAfter));
  if (result.End == AttemptEnd::CallerGone)
    return finish(CallOutcome::Unknown, ResultCode::CallerGone);
  const auto code = result.Code == ResultCode::Ok
                        ? ResultCode::IdempotencyOwnerLost
                        : result.Code;
  return finish(CallOutcome::Unknown, code,
                std::max(result.RetryAfter, DefaultRetryAfter));
}

/// Begins a call that waited for a first one which its own client's key ended:
/// the first such runs, the others go on to wait.
void Broker::State::beginKeyAgain(CallHandle handle, base::TimePoint now) {
  const auto it = Open.find(handle);
  if (it == Open.end())
    return;
  auto &call = it->second;
  call.Route.Allowed = call.Deadline - now;
  auto step = beginKey(handle, call, now);
  if (step.What != CallStep::Kind::Wait)
    resumeCall(handle, std::move(step));
}

/// Finishes the key of a first call and resumes the calls that waited for it.
void Broker::State::finishKey(OpenCall &call, base::TimePoint now) {
  call.IsFirst = false;
  const auto end = call.Step;
  const auto waiters = Keys.finished(call.Key, end.Outcome, end.Code,
                                     std::move(call.Answer), now);
  const auto &stored = Keys.answerOf(call.Key);
  for (const auto it : waiters) {
    Waiting.erase(it);
    if (!stored.empty()) {
      Open[it].Answer = stored;
      resumeCall(it, replay());
      continue;
    }
    // A key that was taken away is its own client's, not that of the others.
    if (end.Outcome == CallOutcome::NotRun &&
        end.Code == ResultCode::KeyUnknown) {
      beginKeyAgain(it, now);
      continue;
    }
    const bool answerLost = end.Outcome == CallOutcome::Answered;
    resumeCall(it, answerLost ? finish(CallOutcome::Unknown,
                                       ResultCode::CallOutcomeUnknown)
                              : finish(end.Outcome, end.Code, end.RetryAfter));
  }
}

void Broker::State::resumeCall(CallHandle handle, CallStep step) {
  const auto it = Open.find(handle);
  if (it == Open.end())
    return;
  it->second.Step = std::move(step);
  if (OnResumed)
    OnResumed(handle, CallStep(it->second.Step));
}

/// Answers waiting calls whose own deadline passes while the first call runs.
void Broker::State::expireWaiters(base::TimePoint now) {
  std::vector<CallHandle> late;
  for (const auto it : Waiting)
    if (Open[it].Deadline - CallPlanner::HopMargin <= now)
      late.push_back(it);
  for (const auto it : late) {
    Waiting.erase(it);
    Keys.cancelWait(Open[it].Key, it, now);
    resumeCall(it, finish(CallOutcome::Unknown, ResultCode::CallOutcomeUnknown,
                          DefaultRetryAfter));
  }
}

} // namespace radishcross::calls
