#pragma once

#include <LibConfig/Snapshot.h>
#include <LibLog/Fold.h>

#include <map>
#include <string>
#include <vector>

namespace radishcross::log {

/// A version that is attached to a proxy but not held yet, with the reason.
struct WaitingVersion {
  std::string Configuration;
  uint64_t Version = 0;
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Reason;
};

/// Decides which versions one proxy holds: for each configuration the highest
/// version attached to the proxy, never lower than the one it held. All
/// references resolve at any time: a service is added before the routes that
/// use it, and removed after them.
class HeldVersions {
public:
  HeldVersions(std::string nodeId, config::Labels labels);

  /// Updates from the fold's new state. Returns true if a new snapshot is in
  /// force.
  bool update(const Fold &fold);

  /// Returns the snapshot in force; never null.
  const config::SnapshotPointer &snapshot() const { return Current; }

  const std::vector<WaitingVersion> &waiting() const { return Waiting; }

  /// Returns the configurations of which the held version is no longer attached
  /// to this proxy: the selector was narrowed, or an older version is attached.
  const std::vector<std::string> &holdovers() const { return Holdovers; }

  /// Returns the held versions that differ from the attached ones: holdovers,
  /// and the version held where a newer one waits (0 for none). Usually empty.
  /// The fold and these exceptions determine all held versions, so this is all
  /// that peers have to store about a node to restore it after a restart.
  std::map<std::string, uint64_t> exceptions() const;

  /// Sets minimum versions, effective from the next update. Used when a
  /// restarting node learns from its peers the exceptions() that it had before.
  /// They are taken before newer attached versions, which may have to wait. If
  /// the fold does not have such a version yet, the proxy waits for it and
  /// takes no lower one.
  void raiseFloor(const std::map<std::string, uint64_t> &versions);

  const std::string &node() const { return NodeId; }
  const config::Labels &labels() const { return NodeLabels; }
  const std::map<std::string, uint64_t> &floor() const { return Floor; }

private:
  /// Identifies one version of one configuration.
  struct Target {
    std::string Configuration;
    uint64_t Version = 0;
    bool operator==(const Target &) const = default;
  };
  using Targets = std::map<std::string, uint64_t>;

  Targets selectedVersions(const Fold &fold) const;
  std::vector<Target> newerThanHeld(const Targets &goals) const;
  Targets withFloorVersions(Targets selected) const;
  void updateHoldovers(const Targets &selected);
  bool advance(const Fold &fold, const std::vector<Target> &targets);

  std::string NodeId;
  config::Labels NodeLabels;
  config::SnapshotPointer Current;
  std::vector<WaitingVersion> Waiting;
  std::vector<std::string> Holdovers;
  std::map<std::string, uint64_t> Floor;
  std::vector<Target> BlockedTargets; ///< Of the last update, if all wait.
  bool IsFloorPending = false; ///< Versions of the floor are still to be taken.
};

} // namespace radishcross::log
