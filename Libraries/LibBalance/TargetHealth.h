#pragma once

#include <LibBase/Clock.h>
#include <LibChart/Chart.h>

#include <cstdint>
#include <string>
#include <vector>

namespace radishcross::balance {

/// Health of one target as seen by a caller's node (outlier detection), driven
/// by the state chart TargetHealth.chart.json. Consecutive failures eject the
/// target for a time that doubles with each ejection; after it one call at a
/// time probes the target.
class TargetHealth {
public:
  static constexpr uint32_t FailureLimit = 3;
  static constexpr base::Duration FirstEjection = std::chrono::seconds(1);
  static constexpr base::Duration LongestEjection = std::chrono::seconds(30);

  TargetHealth();

  void succeeded();
  void failed(base::TimePoint now);
  /// Reports that no connection to its node could be established; this ejects
  /// the target at once.
  void unreachable(base::TimePoint now);
  /// Ends an ejection whose time has passed; returns whether it did.
  bool tick(base::TimePoint now);

  bool ejected() const { return Machine.stateName() == "ejected"; }
  bool probing() const { return Machine.stateName() == "probing"; }

  /// Returns the names of the actions that the chart may use.
  static std::vector<std::string> actionNames();

private:
  struct ActionRow;
  void clearFailures();
  void countFailure();
  void startEjection();
  static const std::vector<ActionRow> &actionTable();

  chart::Machine<TargetHealth> Machine;
  uint32_t Failures = 0;
  base::Duration Ejection = FirstEjection;
  base::TimePoint Now{};
  base::TimePoint EjectedUntil{};
};

} // namespace radishcross::balance
