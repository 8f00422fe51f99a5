#pragma once

#include <LibAdmin/NodeControl.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>

namespace radishcross::admin {

/// Serves GET /metrics and nothing else, without a token: for an address that
/// collectors of metrics reach and operators' tools need not.
class MetricsPage {
public:
  explicit MetricsPage(NodeControl &node) : Node(node) {}

  boost::asio::awaitable<http::Response> handle(http::IncomingRequest incoming);

private:
  NodeControl &Node;
};

} // namespace radishcross::admin
