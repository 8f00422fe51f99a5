#pragma once

#include <LibBase/Address.h>
#include <LibBase/EnumNames.h>
#include <LibConfig/Labels.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::fleet {

using NodeId = std::string;

/// The state that a target reports.
enum class TargetState : uint8_t { Starting, Ready, Draining, Left };

constexpr base::EnumName<TargetState> TargetStateNames[] = {
    {TargetState::Starting, "starting"},
    {TargetState::Ready, "ready"},
    {TargetState::Draining, "draining"},
    {TargetState::Left, "left"},
};

/// The targets of a node that have stated that they are leaving: by id, the
/// epoch of the latest process that did. Earlier processes have left too.
using Departures = std::map<std::string, uint64_t>;

/// A target of a node, as announced to the fleet.
struct TargetRecord {
  std::string Service;  ///< "configuration/name".
  std::string TargetId; ///< Unique within the node.
  base::Address Where;  ///< Reachable from its own node only.
  TargetState State = TargetState::Starting;
  uint32_t Slots = 1;        ///< Maximum concurrent calls.
  uint32_t Connections = 1;  ///< Maximum connections.
  uint32_t LoadPermille = 0; ///< Reported load.
  /// Raised when the target is announced again after its lease lapsed.
  uint64_t Epoch = 0;
  /// Of the target's program; empty where roll-outs are not configured.
  std::string SoftwareVersion;
  /// Milliseconds for which it said it would remain slow after its start; like
  /// the load, a change alone is not spread. Nothing: it doesn't say.
  std::optional<uint32_t> WarmUpMs{};
};

enum class MemberState : uint8_t { Alive, Suspect, Dead, Left };

constexpr base::EnumName<MemberState> MemberStateNames[] = {
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
};

/// The part of a member that is constant while the node's process runs.
struct NodeIdentity {
  NodeId Id;
  std::string DataCentre;
  std::string Region;
  config::Labels NodeLabels;
  base::Address Gossip;         ///< UDP.
  base::Address Peer;           ///< TCP: pulls of records, states, members.
  base::Address Mesh;           ///< HTTP calls from other nodes.
  base::Address Administration; ///< HTTP for operators.
};

/// A node as the others see it. A record replaces one with a lower incarnation,
/// or with the same incarnation and a lower revision.
struct Member {
  NodeIdentity Identity;
  uint64_t Incarnation = 0; ///< Raised by the node on a restart and to refute.
  uint64_t Revision = 0;    ///< Raised by the node when its content changes.
  MemberState State = MemberState::Alive;
  log::Offset ConfigOffset = 0; ///< Offset in force at the node.
  /// Last offset received; may not be in force yet.
  log::Offset HeldOffset = 0;
  uint64_t FoldHash = 0;    ///< Hash of the fold at ConfigOffset.
  bool IsRecovered = false; ///< The node has recovered and serves.
  std::vector<TargetRecord> Targets;
  /// Configuration versions that the node holds but that do not follow from the
  /// fold and its labels, such as those of a proxy that is no longer selected;
  /// usually empty. Peers keep them for the node, which asks for them after a
  /// restart.
  std::map<std::string, uint64_t> Exceptions;
  /// The node has fetched its exceptions. Until then its peers keep those of
  /// its previous process.
  bool KnowsExceptions = false;
  /// Kept by the peers like Exceptions, and asked for after a restart.
  Departures Departed;
  /// A process of the node has known its departures; its peers keep this for
  /// the next one, which then needs no other source.
  bool KnowsDepartures = false;
};

} // namespace radishcross::fleet
