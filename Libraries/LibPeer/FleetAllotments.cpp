#include <LibPeer/FleetNode.h>

#include <utility>

// The part of FleetNode that carries messages about allotments.

namespace radishcross::peer {

void FleetNode::handleAllotment(const Datagram &datagram,
                                const base::Address &from) {
  if (!Environment.AllotmentReceived)
    return;
  auto answer =
      Environment.AllotmentReceived(datagram.Sender, *datagram.Allotment);
  if (answer)
    sendAllotment(std::move(answer->Message), from);
}

void FleetNode::sendAllotment(tenants::AllotmentSend send) {
  const auto *to = Members.table().find(send.To);
  if (to && !HasLeft)
    sendAllotment(std::move(send.Message), to->Identity.Gossip);
}

void FleetNode::sendAllotment(tenants::AllotmentMessage message,
                              const base::Address &to) {
  Datagram datagram;
  datagram.Sender = Environment.Self.Id;
  datagram.Epoch = Epoch;
  datagram.Sequence = ++Sequence;
  datagram.Allotment = std::move(message);
  auto bytes = Authenticator.seal(encodeDatagram(datagram));
  if (bytes.size() > MaximumDatagramBytes)
    return countDropped("allotment-oversized");
  ++Environment.Counters->counter("allotment_messages_sent_total");
  Environment.Counters->counter("allotment_bytes_sent_total") += bytes.size();
  Datagrams->send(to, bytes);
}

} // namespace radishcross::peer
