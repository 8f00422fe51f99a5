#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibChart/Chart.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/Record.h>

#include <optional>
#include <string>

namespace radishcross::fleet {

/// Settings of recovery.
struct RecoverySettings {
  /// How long a starting node waits for peers before it assumes that it is the
  /// first.
  base::Duration JoinGrace = std::chrono::milliseconds(1000);
  bool HasSeeds = true;
};

/// The state of the fleet as seen by a recovering node.
struct RecoveryView {
  log::Offset InForce = 0; ///< The offset that this node could serve.
  /// The highest offset in force at the serving members of the data centre, and
  /// at all serving members; empty if there are none.
  std::optional<log::Offset> ServedLocally;
  std::optional<log::Offset> ServedAnywhere;

  bool operator==(const RecoveryView &) const = default;
};

RecoveryView viewForRecovery(const MemberTable &table, const NodeId &self,
                             const std::string &dataCentre,
                             log::Offset inForce);

/// Decides when a node that starts without state may serve: once it holds what
/// the serving nodes of its data centre hold or, if there are none, what the
/// nodes of other data centres and the log hold. Without any source the node
/// does not serve, and reason() says why.
class Recovery {
public:
  /// Fails with an 8xxx code if the embedded chart is invalid.
  static std::optional<Recovery> create(RecoverySettings settings,
                                        base::TimePoint now,
                                        base::LastReason &reason);

  /// Handles the end of a read of the log: whether the platform answered, the
  /// oldest offset of the log, and one past its newest.
  void logRead(bool reached, log::Offset first, log::Offset end);

  /// Takes the transitions of the state chart that are due.
  void reevaluate(const RecoveryView &view, base::TimePoint now);

  bool isServing() const { return Serving; }

  /// Returns true if this node must read the log to its end, even if it is not
  /// a tailer.
  bool readsLog() const { return ReadsLog && !Serving; }

  /// Returns true if the log no longer holds the record after \p held.
  bool needsState(log::Offset held) const { return LogFirst > held + 1; }

  /// Returns why the node does not serve; empty if it does.
  std::string reason() const;
  const std::string &stateName() const { return Chart.stateName(); }

private:
  Recovery(const chart::Chart &chart, RecoverySettings settings,
           base::TimePoint now);
  std::string_view eventFor(const RecoveryView &view,
                            base::TimePoint now) const;
  bool isCaughtUp(const RecoveryView &view) const;
  void serve() { Serving = true; }
  void readLog() { ReadsLog = true; }
  void leaveLog() { ReadsLog = false; }

  RecoverySettings Settings;
  base::TimePoint Started;
  chart::Machine<Recovery> Chart;
  bool Serving = false;
  bool ReadsLog = false;
  bool LogTried = false;
  bool LogReached = false;
  log::Offset LogFirst = 1;
  log::Offset LogEnd = 1;
};

} // namespace radishcross::fleet
