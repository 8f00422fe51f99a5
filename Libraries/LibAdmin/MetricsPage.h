#pragma once

#include <LibAdmin/NodeControl.h>
#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>

namespace radishcross::admin {

/// Serves only GET /metrics, without a token, so that metrics collectors need
/// no access to the administration listener.
class MetricsPage {
public:
  explicit MetricsPage(NodeControl &node) : Node(node) {}

  boost::asio::awaitable<http::Response> handle(http::IncomingRequest incoming);

private:
  NodeControl &Node;
};

} // namespace radishcross::admin
