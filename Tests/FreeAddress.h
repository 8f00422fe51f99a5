#pragma once

#include <LibBase/Address.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <unistd.h>

namespace radishcross::test {

/// Returns a loopback address that is free for TCP and UDP. Its port lies below
/// the ephemeral range, so that no outgoing connection takes it before a
/// listener does.
inline base::Address freeAddress() {
  namespace ip = boost::asio::ip;
  constexpr uint16_t FirstPort = 14000;
  constexpr uint16_t PortCount = 16000;
  static uint16_t next = static_cast<uint16_t>(getpid() * 101 % PortCount);
  const auto host = ip::make_address("127.0.0.1");
  boost::asio::io_context context;
  for (;;) {
    next = static_cast<uint16_t>((next + 1) % PortCount);
    auto port = static_cast<uint16_t>(FirstPort + next);
    ip::tcp::socket tcp(context, ip::tcp::v4());
    ip::udp::socket udp(context, ip::udp::v4());
    boost::system::error_code ec;
    tcp.bind({host, port}, ec);
    if (!ec)
      udp.bind({host, port}, ec);
    if (!ec)
      return {"127.0.0.1", port};
  }
}

} // namespace radishcross::test
