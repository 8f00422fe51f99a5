#pragma once

#include <LibBase/LastReason.h>
#include <LibBase/Metrics.h>
#include <LibFleet/TransferGate.h>
#include <LibPeer/MeshAuthenticator.h>
#include <LibPeer/PullCodec.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace radishcross::peer {

/// Pointers to the byte counters of control traffic.
struct ControlByteCounters {
  uint64_t *Sent = nullptr;
  uint64_t *Received = nullptr;
};

/// Serves peers' pull requests over TCP: one request and one answer per
/// connection, each with a length prefix of four bytes, big endian, and the
/// authentication tag of the mesh key.
class PullServer : public std::enable_shared_from_this<PullServer> {
public:
  using Handler = std::function<PullAnswer(const PullRequest &)>;

  /// Fails with CannotListen.
  static std::optional<std::shared_ptr<PullServer>>
  create(boost::asio::io_context &context, const base::Address &where,
         MeshAuthenticator authenticator, ControlByteCounters bytes,
         base::Metrics &counters, Handler handler, base::LastReason &reason);

  void close();

private:
  PullServer(boost::asio::io_context &context, MeshAuthenticator authenticator,
             ControlByteCounters bytes, base::Metrics &counters,
             Handler handler);
  boost::asio::awaitable<void> acceptAll();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> answer(boost::asio::ip::tcp::socket &socket,
                                      PullRequest request);
  boost::asio::awaitable<std::optional<PullRequest>>
  readRequest(boost::asio::ip::tcp::socket &socket);

  boost::asio::ip::tcp::acceptor Acceptor;
  MeshAuthenticator Authenticator;
  ControlByteCounters Bytes;
  base::Metrics &Counters;
  Handler RequestHandler;
  fleet::TransferGate Transfers;
  size_t Connections = 0;
};

} // namespace radishcross::peer
