#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibChart/Chart.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/Record.h>

#include <optional>
#include <string>

namespace radishcross::fleet {

/// Times of recovery.
struct RecoverySettings {
  /// How long a newcomer listens for peers before it believes to be the first.
  base::Duration JoinGrace = std::chrono::milliseconds(1000);
  bool HasSeeds = true;
};

/// What a recovering node sees of the fleet.
struct RecoveryView {
  log::Offset InForce = 0; ///< What this node could serve.
  /// The highest offset in force at serving members of the data centre and at
  /// any serving member; nothing when there is none.
  std::optional<log::Offset> ServedLocally;
  std::optional<log::Offset> ServedAnywhere;

  bool operator==(const RecoveryView &) const = default;
};

RecoveryView viewForRecovery(const MemberTable &table, const NodeId &self,
                             const std::string &dataCentre,
                             log::Offset inForce);

/// Decides when a node without state may serve: once it holds what the serving
/// nodes of its data centre hold, or, without any such node, what the other
/// data centres' nodes and the log hold. Never before; with no source it waits
/// and says why.
class Recovery {
public:
  /// Fails with an 8xxx code when the embedded chart is wrong.
  static std::optional<Recovery> create(RecoverySettings settings,
                                        base::TimePoint now,
                                        base::LastReason &reason);

  /// Takes the end of a read of the log: whether the platform answered, its
  /// oldest offset and one past its newest.
  void logRead(bool reached, log::Offset first, log::Offset end);

  /// Looks at what is known now.
  void reevaluate(const RecoveryView &view, base::TimePoint now);

  bool isServing() const { return Serving; }

  /// Tells whether the log has to be read to its end, whoever else tails it.
  bool readsLog() const { return ReadsLog && !Serving; }

  /// Tells whether the log lacks the record after \p held.
  bool needsState(log::Offset held) const { return LogFirst > held + 1; }

  /// Returns why the node does not serve; empty when it does.
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
