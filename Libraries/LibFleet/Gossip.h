#pragma once

#include <LibBase/Address.h>
#include <LibFleet/Member.h>
#include <LibFleet/RecordFreshness.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <string>
#include <vector>

namespace radishcross::fleet {

enum class GossipKind : uint8_t {
  Ping,        ///< Asks for an Ack with the same probe number.
  Ack,         ///< Answers a Ping, on behalf of Subject if set.
  PingRequest, ///< Asks the receiver to ping Subject.
  Update,      ///< Carries updates and the digest; no answer is expected.
  Join,        ///< First message of a joining node; carries its record.
  Direct,      ///< Carries notices for the receiver only.
};

constexpr base::EnumName<GossipKind> GossipKindNames[] = {
    {GossipKind::Ping, "ping"},
    {GossipKind::Ack, "ack"},
    {GossipKind::PingRequest, "ping-request"},
    {GossipKind::Update, "news"},
    {GossipKind::Join, "join"},
    {GossipKind::Direct, "direct"},
};

/// Summary of what a node holds; part of every datagram.
struct Digest {
  log::Offset Held = 0;     ///< The last offset that the node has received.
  log::Offset InForce = 0;  ///< The last offset in force; at most Held.
  uint64_t FoldHash = 0;    ///< The fold's hash at InForce.
  uint64_t MembersHash = 0; ///< MemberTable::hash().
  bool IsRecovered = false; ///< The node has recovered and serves.
  FreshnessReport External; ///< Of the external configuration.
};

/// An update about one member. Without content, only the id, the incarnation
/// and the state are valid.
struct MemberUpdate {
  Member Record;
  bool HasContent = false;
};

/// A short text broadcast to every node. Per topic, a higher revision replaces
/// a lower one.
struct Notice {
  std::string Topic;
  std::string Text;
  uint64_t Revision = 0;
  uint32_t LifetimeMilliseconds = 0; ///< Remaining lifetime.
};

/// The content of one datagram.
struct GossipMessage {
  GossipKind Kind = GossipKind::Update;
  uint64_t Probe = 0;
  NodeId Subject;
  Digest Summary;
  std::vector<MemberUpdate> Updates;
  std::vector<Notice> Notices;
};

/// The sender of a datagram and its source address.
struct GossipSender {
  NodeId Id;
  base::Address From;
};

/// A datagram to be sent.
struct GossipSend {
  base::Address To;
  GossipMessage Message;
};

} // namespace radishcross::fleet
