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

  /// Returns the configurations that are held in a version that no attachment
  /// gives this proxy: it was narrowed away, or attached to an older version.
  const std::vector<std::string> &holdovers() const { return Holdovers; }

  /// Returns what is held otherwise than the attachments say: holdovers, and
  /// the version held where a newer one waits, 0 for none. Usually empty.
  /// Together with the fold it says all that is held, so peers need to keep no
  /// more of a node to tell it after a restart.
  std::map<std::string, uint64_t> exceptions() const;

  /// Holds at least these versions from the next update on: used when a node
  /// that restarts learns from its peers what it held, as exceptions() gave it.
  /// They are taken before the newer ones that are attached, which may have to
  /// wait. A version that the fold does not have yet is waited for, and no
  /// lower one is taken.
  void raiseFloor(const std::map<std::string, uint64_t> &versions);

  const std::string &node() const { return NodeId; }
  const config::Labels &labels() const { return NodeLabels; }
  const std::map<std::string, uint64_t> &floor() const { return Floor; }

private:
  /// Names one version of one configuration.
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
  std::vector<Target>
      BlockedTargets;          ///< Targets of the last update, all waiting.
  bool IsFloorPending = false; ///< Its versions have not been taken yet.
};

} // namespace radishcross::log
