#pragma once

#include <LibBase/LastReason.h>
#include <LibFleet/Gossip.h>
#include <LibTenants/AllotmentMessage.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::peer {

/// Largest datagram that is sent or accepted, in bytes; it fits into one
/// Ethernet frame.
constexpr size_t MaximumDatagramBytes = 1400;

/// A gossip message, or one about allotments, and the identity of the sending
/// process.
struct Datagram {
  fleet::NodeId Sender;
  uint64_t Epoch = 0;    ///< Increases with each process of the sender.
  uint64_t Sequence = 0; ///< Increases with each datagram of the process.
  fleet::GossipMessage Message;
  /// If set, the datagram carries nothing else.
  std::optional<tenants::AllotmentMessage> Allotment = {};
};

/// Returns the packed message without the authentication tag.
std::string encodeDatagram(const Datagram &datagram);

/// Fails with DatagramMalformed.
std::optional<Datagram> decodeDatagram(std::string_view bytes,
                                       base::LastReason &reason);

} // namespace radishcross::peer
