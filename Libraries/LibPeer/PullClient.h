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

/// Sends one pull to a peer and waits for its answer.
class PullClient : public std::enable_shared_from_this<PullClient> {
public:
  /// Empty when the peer could not be reached or gave no genuine answer.
  using Done = std::function<void(std::optional<PullAnswer>)>;

  PullClient(boost::asio::io_context &context, MeshAuthenticator proof,
             ControlByteCounters bytes)
      : Context(context), Proof(std::move(proof)), Bytes(bytes) {}

  /// From now on nothing is counted: the counters' owner ends.
  void close() { Closed = true; }

  /// \p done is called once, never from inside this call.
  void pull(const base::Address &peer, PullRequest request, Done done);

private:
  boost::asio::awaitable<std::optional<PullAnswer>>
  exchange(base::Address peer, PullRequest request);
  boost::asio::awaitable<std::optional<std::string>>
  ask(boost::asio::ip::tcp::socket &socket, std::string frame);
  std::optional<PullAnswer> open(const std::string &frame,
                                 const PullRequest &request) const;

  boost::asio::io_context &Context;
  MeshAuthenticator Proof;
  ControlByteCounters Bytes;
  bool Closed = false;
};

} // namespace radishcross::peer
