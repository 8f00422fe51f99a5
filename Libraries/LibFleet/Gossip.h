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
  Ack,         ///< Answers a Ping, for Subject when that is set.
  PingRequest, ///< Asks the receiver to ping Subject.
  Update,      ///< Carries updates and the digest; no answer is expected.
  Join,        ///< A newcomer's first message; carries its own record.
};

constexpr base::EnumName<GossipKind> GossipKindNames[] = {
    {GossipKind::Ping, "ping"},
    {GossipKind::Ack, "ack"},
    {GossipKind::PingRequest, "ping-request"},
    {GossipKind::Update, "news"},
    {GossipKind::Join, "join"},
};

/// What a node holds, in a few bytes; every datagram carries it.
struct Digest {
  log::Offset Held = 0;     ///< The last offset that the node has received.
  log::Offset InForce = 0;  ///< The last offset in force; at most Held.
  uint64_t FoldHash = 0;    ///< The fold's hash at InForce.
  uint64_t MembersHash = 0; ///< MemberTable::hash().
  bool IsRecovered = false; ///< The node serves.
  FreshnessReport External; ///< Of the external configuration.
};

/// News of one member. Without content only the identity's id, the incarnation
/// and the state count.
struct MemberUpdate {
  Member Record;
  bool HasContent = false;
};

/// A small text for every node; a higher revision replaces an older one.
struct Notice {
  std::string Topic;
  std::string Text;
  uint64_t Revision = 0;
  uint32_t LifetimeMilliseconds = 0; ///< What is left of its lifetime.
};

/// One datagram's content.
struct GossipMessage {
  GossipKind Kind = GossipKind::Update;
  uint64_t Probe = 0;
  NodeId Subject;
  Digest Summary;
  std::vector<MemberUpdate> Updates;
  std::vector<Notice> Notices;
};

/// Who sent a datagram and from where.
struct GossipSender {
  NodeId Id;
  base::Address From;
};

/// An action: send one datagram.
struct GossipSend {
  base::Address To;
  GossipMessage Message;
};

} // namespace radishcross::fleet
