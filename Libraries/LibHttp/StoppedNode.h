#pragma once

#include <LibAdmission/AdmissionGate.h>
#include <LibCalls/CallBroker.h>

namespace radishcross::http {

/// Replaces the broker of a node that has been destroyed: calls still in flight
/// end with an unknown outcome without accessing the node.
class StoppedNodeBroker final : public calls::CallBroker {
public:
  calls::CallHandle begin(const calls::CallRequest &, config::SnapshotPointer,
                          base::TimePoint) override {
    return 0;
  }
  calls::CallStep step(calls::CallHandle) const override {
    return refusal(calls::CallOutcome::NotRun);
  }
  calls::CallStep attemptEnded(calls::CallHandle, const calls::AttemptResult &,
                               base::TimePoint) override {
    return refusal(calls::CallOutcome::Unknown);
  }
  std::optional<calls::CallStep> hedge(calls::CallHandle,
                                       base::TimePoint) override {
    return std::nullopt;
  }
  void end(calls::CallHandle, base::TimePoint) override {}

private:
  static calls::CallStep refusal(calls::CallOutcome outcome) {
    calls::CallStep step;
    step.Code = base::ResultCode::Draining;
    step.Outcome = outcome;
    return step;
  }
};

/// Replaces the gate of a node that has been destroyed: admits nothing.
class StoppedNodeGate final : public admission::AdmissionGate {
public:
  admission::GateAnswer arrive(const admission::Arrival &,
                               base::TimePoint) override {
    admission::GateAnswer decision;
    decision.Code = base::ResultCode::Draining;
    return decision;
  }
  bool signalled(admission::Ticket, const balance::TargetSignals &,
                 base::TimePoint) override {
    return false;
  }
  balance::RefusalKind judgeRefusal(admission::Ticket,
                                    const std::optional<balance::TargetLoad> &,
                                    base::TimePoint) override {
    return balance::RefusalKind::Full;
  }
  std::vector<admission::GateAnswer> ended(admission::Ticket,
                                           const calls::AttemptResult &,
                                           base::TimePoint) override {
    return {};
  }
  void abandoned(admission::Ticket, base::TimePoint) override {}
  std::vector<admission::GateAnswer> tick(base::TimePoint) override {
    return {};
  }
  uint32_t pressurePermille(const std::string &) const override { return 0; }
  size_t inFlight() const override { return 0; }
};

} // namespace radishcross::http
