#pragma once

#include <LibBase/Address.h>
#include <LibBase/EnumNames.h>
#include <LibConfig/Labels.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishcross::fleet {

using NodeId = std::string;

/// What a target says of itself.
enum class TargetState : uint8_t { Starting, Ready, Draining, Left };

constexpr base::EnumName<TargetState> TargetStateNames[] = {
    {TargetState::Starting, "starting"},
    {TargetState::Ready, "ready"},
    {TargetState::Draining, "draining"},
    {TargetState::Left, "left"},
};

/// One target behind a node, as the fleet knows it.
struct TargetRecord {
  std::string Service;  ///< "configuration/name".
  std::string TargetId; ///< Unique within the node.
  base::Address Where;  ///< Reached by its own node alone.
  TargetState State = TargetState::Starting;
  uint32_t Slots = 1;        ///< Calls it runs at once.
  uint32_t Connections = 1;  ///< Connections it accepts.
  uint32_t LoadPermille = 0; ///< Its reported load.
  uint64_t Epoch = 0;        ///< Grows with every announcement after a lapse.
};

enum class MemberState : uint8_t { Alive, Suspect, Dead, Left };

constexpr base::EnumName<MemberState> MemberStateNames[] = {
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
};

/// What never changes while a node's process runs.
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

/// One node as others see it. A record with a higher incarnation, or an equal
/// one and a higher revision, replaces an older one.
struct Member {
  NodeIdentity Identity;
  uint64_t Incarnation = 0; ///< Raised by the node itself: restart, refutation.
  uint64_t Revision = 0;    ///< Raised by the node when its targets change.
  MemberState State = MemberState::Alive;
  log::Offset ConfigOffset = 0; ///< Offset in force at the node.
  log::Offset HeldOffset = 0;   ///< Offset received, maybe not yet in force.
  uint64_t FoldHash = 0;        ///< Fold's hash at ConfigOffset.
  bool IsRecovered = false;     ///< The node has recovered and serves.
  std::vector<TargetRecord> Targets;
  /// Versions held that the fold and the labels alone do not tell, such as
  /// those of a proxy that is no longer selected; usually empty. The others
  /// keep them for the node, which asks for them when it restarts.
  std::map<std::string, uint64_t> Exceptions;
  /// The node has asked for its exceptions; until then the others keep what
  /// they remember of its earlier process.
  bool KnowsExceptions = false;
};

} // namespace radishcross::fleet
