#pragma once

#include <LibAdmission/AdmissionGate.h>
#include <LibCalls/CallBroker.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace radishcross::tests {

/// A broker that returns scripted steps and records its input.
class MockBroker final : public calls::CallBroker {
public:
  calls::CallHandle begin(const calls::CallRequest &request,
                          config::SnapshotPointer, base::TimePoint) override {
    Requests.push_back(request);
    return ++Handles;
  }
  calls::CallStep step(calls::CallHandle) const override { return First; }
  calls::CallStep attemptEnded(calls::CallHandle,
                               const calls::AttemptResult &result,
                               base::TimePoint) override {
    Results.push_back(result);
    if (OnAttemptEnded)
      OnAttemptEnded();
    if (!Next.empty()) {
      calls::CallStep step = Next.front();
      Next.pop_front();
      return step;
    }
    calls::CallStep finish;
    bool answered = result.End == calls::AttemptEnd::Answered;
    bool notRun = result.End == calls::AttemptEnd::NotSent ||
                  result.End == calls::AttemptEnd::RefusedNotRun;
    finish.Outcome = answered ? calls::CallOutcome::Answered
                     : notRun ? calls::CallOutcome::NotRun
                              : calls::CallOutcome::Unknown;
    finish.Code = notRun ? base::ResultCode::NoTarget
                         : base::ResultCode::CallOutcomeUnknown;
    return finish;
  }
  std::optional<calls::CallStep> hedge(calls::CallHandle,
                                       base::TimePoint) override {
    ++HedgesAsked;
    return Second;
  }
  void end(calls::CallHandle, base::TimePoint) override { ++Ended; }
  void storeAnswer(calls::CallHandle, std::string &&answer,
                   base::TimePoint) override {
    Kept = std::move(answer);
  }
  std::string storedAnswer(calls::CallHandle) const override { return Kept; }
  void setOnResumed(const Resumed &resumed) override { Resume = resumed; }

  calls::CallStep First;
  std::string Kept;
  Resumed Resume;
  std::deque<calls::CallStep> Next;
  std::function<void()> OnAttemptEnded;
  std::vector<calls::CallRequest> Requests;
  std::vector<calls::AttemptResult> Results;
  std::optional<calls::CallStep> Second; ///< What hedge() returns.
  size_t HedgesAsked = 0;
  calls::CallHandle Handles = 0;
  size_t Ended = 0;
};

/// A gate that admits all calls, or queues them until the test releases them.
class MockGate final : public admission::AdmissionGate {
public:
  admission::GateAnswer arrive(const admission::Arrival &arrival,
                               base::TimePoint) override {
    Arrivals.push_back(arrival);
    admission::GateAnswer answer;
    answer.What = Kind;
    answer.Call = ++Tickets;
    answer.Code = base::ResultCode::Overloaded;
    answer.RetryAfter = std::chrono::seconds(2);
    answer.Found.Expected = Expected;
    Running += Kind == admission::GateAnswer::Kind::Run ? 1 : 0;
    return answer;
  }
  bool signalled(admission::Ticket, const balance::TargetSignals &signals,
                 base::TimePoint) override {
    Signals.push_back(signals);
    return false;
  }
  balance::RefusalKind
  judgeRefusal(admission::Ticket,
               const std::optional<balance::TargetLoad> &load,
               base::TimePoint) override {
    RefusedWith.push_back(load);
    return Judgement;
  }
  std::vector<admission::GateAnswer> ended(admission::Ticket,
                                           const calls::AttemptResult &result,
                                           base::TimePoint) override {
    Results.push_back(result);
    Running -= 1;
    return {};
  }
  void abandoned(admission::Ticket, base::TimePoint) override { ++Abandoned; }
  std::vector<admission::GateAnswer> tick(base::TimePoint) override {
    return std::exchange(AtTick, {});
  }
  uint32_t pressurePermille(const std::string &) const override { return 250; }
  size_t inFlight() const override { return Running; }

  admission::GateAnswer::Kind Kind = admission::GateAnswer::Kind::Run;
  std::vector<admission::GateAnswer> AtTick;
  std::vector<admission::Arrival> Arrivals;
  std::vector<calls::AttemptResult> Results;
  std::vector<balance::TargetSignals> Signals;
  std::vector<std::optional<balance::TargetLoad>> RefusedWith;
  balance::RefusalKind Judgement = balance::RefusalKind::Full;
  base::Duration Expected{};
  admission::Ticket Tickets = 0;
  size_t Running = 0;
  size_t Abandoned = 0;
};

} // namespace radishcross::tests
