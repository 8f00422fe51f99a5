#include <LibPeer/DatagramSocket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

namespace radishcross::peer {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {
constexpr size_t HeaderBytes = 28; ///< IPv4 (20) and UDP (8).
} // namespace

DatagramSocket::DatagramSocket(asio::io_context &context,
                               ControlByteCounters bytes, Handler handler)
    : Socket(context), Bytes(bytes), OnReceived(std::move(handler)) {}

std::optional<std::shared_ptr<DatagramSocket>>
DatagramSocket::create(asio::io_context &context, const base::Address &where,
                       ControlByteCounters bytes, Handler handler,
                       base::LastReason &reason) {
  std::shared_ptr<DatagramSocket> it(
      new DatagramSocket(context, bytes, std::move(handler)));
  boost::system::error_code ec;
  udp::endpoint endpoint(asio::ip::make_address(where.Host, ec), where.Port);
  if (!ec)
    it->Socket.open(endpoint.protocol(), ec);
  if (!ec)
    it->Socket.bind(endpoint, ec);
  if (!ec)
    it->Socket.non_blocking(true, ec);
  if (ec)
    return reason.fail(base::ResultCode::CannotListen,
                       "gossip address " + where.text() + ": " + ec.message());
  it->receive();
  return it;
}

void DatagramSocket::send(const base::Address &to, std::string_view bytes) {
  boost::system::error_code ec;
  udp::endpoint endpoint(asio::ip::make_address(to.Host, ec), to.Port);
  if (ec)
    return;
  Socket.send_to(asio::buffer(bytes), endpoint, 0, ec);
  if (!ec)
    *Bytes.Sent += bytes.size() + HeaderBytes;
}

void DatagramSocket::close() {
  boost::system::error_code ignored;
  Socket.close(ignored);
}

void DatagramSocket::receive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), RemoteEndpoint,
      [self = shared_from_this()](boost::system::error_code ec, size_t n) {
        if (ec == asio::error::operation_aborted || !self->Socket.is_open())
          return;
        if (!ec) {
          *self->Bytes.Received += n + HeaderBytes;
          self->OnReceived({self->Buffer.data(), n},
                           {self->RemoteEndpoint.address().to_string(),
                            self->RemoteEndpoint.port()});
        }
        self->receive();
      });
}

} // namespace radishcross::peer
