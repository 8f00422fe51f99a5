#include <LibHttp/CallEngine.h>

#include <LibBase/Logger.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/CallLog.h>
#include <LibHttp/Responses.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

namespace radishcross::http {

namespace asio = boost::asio;
using calls::CallOutcome;
using calls::CallStep;

/// Counts and logs how the rest of a call's answer ends, unless it is whole.
void CallEngine::noteRestEnd(const BrokeredCall &call) {
  // Outlives the call.
  std::string id(requestIdOf(call.Incoming.Message, Environment.Headers,
                             call.Request.CallId));
  call.HttpResponse.Rest->addOnEnd(
      [this, id = std::move(id)](RestEnd how, base::Duration awaited) {
        if (how == RestEnd::Whole)
          return;
        const bool isBroken = how == RestEnd::Broken;
        Environment.Counters->counter(
            isBroken ? "answers_broken_off_total{by=\"server\"}"
                     : "answers_broken_off_total{by=\"reader\"}") += 1;
        if (isBroken)
          base::log(base::LogLevel::Warning, "answer broken off",
                    {{"request", printableId(id)},
                     {"awaited_reader_ms", formatMilliseconds(awaited)}});
      });
}

/// Counts and logs a finished call.
void CallEngine::ended(const BrokeredCall &call, const config::Snapshot *held,
                       const CallStep &last, base::Duration took) {
  CallTotals.ended(call.ServiceName, call.CallRank, last.Outcome, last.Code,
                   took);
  EndedCall line;
  line.RequestId = requestIdOf(call.Incoming.Message, Environment.Headers,
                               call.Request.CallId);
  line.Request = &call.Request;
  line.Held = held;
  line.Matched = call.Matched;
  line.ServiceName = call.ServiceName;
  line.CallRank = call.CallRank;
  if (!call.EndedAttempts.empty())
    line.TargetId = call.EndedAttempts.back().TargetId;
  line.EndedAttempts = &call.EndedAttempts;
  line.Attempts = call.Attempts;
  line.Outcome = last.Outcome;
  line.Code = last.Code;
  line.Stop = last.Stop;
  line.RetriesLeft = last.RetriesLeft;
  line.RetryAfter = last.RetryAfter;
  if (last.Outcome == CallOutcome::Answered)
    line.Status = call.HttpResponse.result_int();
  line.Took = took;
  logEndedCall(line);
}

/// Replays the stored response; if it cannot be parsed, the outcome is unknown.
void CallEngine::replay(BrokeredCall &call, CallStep &step) {
  auto response = parseResponse(Environment.Broker->storedAnswer(call.Handle));
  step.What = CallStep::Kind::Finish;
  step.Outcome = response ? CallOutcome::Answered : CallOutcome::Unknown;
  step.Code =
      response ? base::ResultCode::Ok : base::ResultCode::CallOutcomeUnknown;
  if (response)
    call.HttpResponse = std::move(*response);
}

/// Waits until the broker resumes the call or the caller disconnects.
asio::awaitable<CallStep> CallEngine::awaitDuplicateCall(BrokeredCall &call) {
  WaitingCall waiting{asio::steady_timer(*Environment.Context,
                                         asio::steady_timer::time_point::max()),
                      std::nullopt};
  Waiting[call.Handle] = &waiting;
  call.Incoming.Watch->OnGone = [&waiting] { waiting.Wake.cancel(); };
  boost::system::error_code ec;
  co_await waiting.Wake.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  call.Incoming.Watch->OnGone = nullptr;
  Waiting.erase(call.Handle);
  if (waiting.Next)
    co_return *waiting.Next;
  CallStep gone;
  gone.Outcome = CallOutcome::Unknown;
  gone.Code = base::ResultCode::CallerGone;
  co_return gone;
}

void CallEngine::resume(calls::CallHandle call, const CallStep &step) {
  auto it = Waiting.find(call);
  if (it == Waiting.end())
    return;
  it->second->Next = step;
  it->second->Wake.cancel();
}

} // namespace radishcross::http
