#pragma once

#include <LibConfig/Snapshot.h>
#include <LibLog/Fold.h>

#include <map>
#include <string>
#include <vector>

namespace radishcross::log {

/// A version that a proxy should hold but does not yet, and why.
struct WaitingVersion {
  std::string Configuration;
  uint64_t Version = 0;
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Reason;
};

/// Decides which versions one proxy holds: for each configuration the highest
/// attached to it, never lower than what it held, closed under references,
/// additions before the routes that use them and routes before removals.
class HeldVersions {
public:
  HeldVersions(std::string nodeId, config::Labels labels);

  /// Takes the fold's new state. Returns true when a new snapshot is in force.
  bool update(const Fold &fold);

  /// Returns the snapshot in force; never null.
  const config::SnapshotPointer &snapshot() const { return Current; }

  const std::vector<WaitingVersion> &waiting() const { return Waiting; }

  /// Returns configurations that are held but no longer selected.
  const std::vector<std::string> &holdovers() const { return Holdovers; }

  /// Forgets nothing below these versions: used when a node that restarts
  /// learns from its peers what its data centre holds.
  void raiseFloor(const std::map<std::string, uint64_t> &versions);

private:
  std::string NodeId;
  config::Labels NodeLabels;
  config::SnapshotPointer Current;
  std::vector<WaitingVersion> Waiting;
  std::vector<std::string> Holdovers;
  std::map<std::string, uint64_t> Floor;
};

} // namespace radishcross::log
