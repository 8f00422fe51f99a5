#pragma once

#include <LibAdmission/AdmissionGate.h>
#include <LibCalls/Quarantine.h>
#include <LibConfig/Snapshot.h>
#include <LibFleet/Member.h>
#include <LibTrace/Recorder.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishcross::admission {

/// Admission control for all targets of one node; see AdmissionGate.
class NodeGate final : public AdmissionGate {
public:
  NodeGate(calls::Quarantine &quarantine, trace::Recorder &recorder);
  ~NodeGate() override;

  GateAnswer arrive(const Arrival &arrival, base::TimePoint now) override;
  bool signalled(Ticket call, const balance::TargetSignals &signals,
                 base::TimePoint now) override;
  balance::RefusalKind
  judgeRefusal(Ticket call, const std::optional<balance::TargetLoad> &load,
               base::TimePoint now) override;
  std::vector<GateAnswer> ended(Ticket call, const calls::AttemptResult &result,
                                base::TimePoint now) override;
  void abandoned(Ticket call, base::TimePoint now) override;
  std::vector<GateAnswer> tick(base::TimePoint now) override;
  uint32_t pressurePermille(const std::string &targetId) const override;
  size_t inFlight() const override;

  /// Returns the occupancy of the gates, summed over each service's targets.
  std::map<std::string, GateView> viewsByService() const;

  /// Sets the targets behind this node.
  void targetsChanged(const std::vector<fleet::TargetRecord> &targets,
                      base::TimePoint now);

  /// Applies the limits of the services in the configuration in force.
  void limitsChanged(config::SnapshotPointer snapshot);

private:
  struct State;
  std::unique_ptr<State> Held;
};

} // namespace radishcross::admission
