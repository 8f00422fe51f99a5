#pragma once

#include <LibBase/LastReason.h>
#include <LibPeer/MeshAuthenticator.h>
#include <LibPeer/PullCodec.h>
#include <LibPeer/PullServer.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace radishcross::peer {

/// Sends pull requests to peers, each on its own connection.
class PullClient : public std::enable_shared_from_this<PullClient> {
public:
  /// Empty if the peer could not be reached or gave no authentic answer.
  using Done = std::function<void(std::optional<PullAnswer>)>;

  PullClient(boost::asio::io_context &context, MeshAuthenticator authenticator,
             ControlByteCounters bytes)
      : Context(context), Authenticator(std::move(authenticator)),
        Bytes(bytes) {}

  /// Stops updating the byte counters, whose owner is about to be destroyed.
  void close() { Closed = true; }

  /// Sends \p request; calls \p done exactly once, never from within this call.
  void pull(const base::Address &peer, PullRequest request, Done done);

private:
  boost::asio::awaitable<std::optional<PullAnswer>>
  exchange(base::Address peer, PullRequest request);
  boost::asio::awaitable<std::optional<std::string>>
  ask(boost::asio::ip::tcp::socket &socket, std::string frame);
  std::optional<PullAnswer> open(const std::string &frame,
                                 const PullRequest &request) const;

  boost::asio::io_context &Context;
  MeshAuthenticator Authenticator;
  ControlByteCounters Bytes;
  bool Closed = false;
};

} // namespace radishcross::peer
