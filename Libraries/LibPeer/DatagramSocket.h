#pragma once

#include <LibBase/Address.h>
#include <LibBase/LastReason.h>
#include <LibPeer/GossipCodec.h>
#include <LibPeer/PullServer.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::peer {

/// A UDP socket for gossip. Byte counts include the IP and UDP headers.
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket> {
public:
  using Handler =
      std::function<void(std::string_view bytes, const base::Address &from)>;

  /// Fails with CannotListen.
  static std::optional<std::shared_ptr<DatagramSocket>>
  create(boost::asio::io_context &context, const base::Address &where,
         ControlByteCounters bytes, Handler handler, base::LastReason &reason);

  /// Sends a datagram, or drops it where the socket buffer is full: sending
  /// never blocks the node.
  void send(const base::Address &to, std::string_view bytes);
  void close();

private:
  DatagramSocket(boost::asio::io_context &context, ControlByteCounters bytes,
                 Handler handler);
  void receive();

  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint RemoteEndpoint;
  std::array<char, MaximumDatagramBytes + 1> Buffer{};
  ControlByteCounters Bytes;
  Handler OnReceived;
};

} // namespace radishcross::peer
