#pragma once

#include <LibAdmin/FleetStatus.h>
#include <LibAdmin/NodeControl.h>
#include <LibAdmin/NodeSettings.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace radishcross::admin {

/// The administration API of one node: resources under /v1, which require a
/// token, and /metrics, /healthz and /readyz, which do not.
class Api {
public:
  /// \p send sends requests to other nodes; http::fetch() by default.
  Api(NodeControl &node, std::vector<Token> tokens, SendRequest send = nullptr);
  ~Api();

  /// Handles one request; used as the handler of an http::Server.
  boost::asio::awaitable<http::Response> handle(http::IncomingRequest request);

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace radishcross::admin
