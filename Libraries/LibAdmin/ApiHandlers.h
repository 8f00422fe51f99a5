#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/ChangeAnswer.h>
#include <LibAdmin/FleetStatus.h>
#include <LibAdmin/NodeControl.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

namespace radishcross::admin {

/// What each resource of the administration API answers. The requests were
/// routed and allowed before.
class ApiHandlers {
public:
  ApiHandlers(NodeControl &node, SendRequest send)
      : Node(node), Send(std::move(send)) {}

  /// Answers of resources that wait for the log or for other nodes.
  using Later = boost::asio::awaitable<http::Response>;

  http::Response health(const ApiRequest &request);
  http::Response readiness(const ApiRequest &request);
  http::Response metrics(const ApiRequest &request);
  http::Response status(const ApiRequest &request);
  Later fleet(ApiRequest request);
  http::Response members(const ApiRequest &request);
  http::Response configurations(const ApiRequest &request);
  http::Response configuration(const ApiRequest &request);
  http::Response version(const ApiRequest &request);
  Later impact(ApiRequest request);
  Later publish(ApiRequest request);
  Later attach(ApiRequest request);
  http::Response previewAttach(const ApiRequest &request);
  Later detach(ApiRequest request);
  http::Response audit(const ApiRequest &request);
  http::Response record(const ApiRequest &request);
  Later drain(ApiRequest request);
  http::Response drainSelf(const ApiRequest &request);
  http::Response quarantine(const ApiRequest &request);
  http::Response liftQuarantine(const ApiRequest &request);
  http::Response recording(const ApiRequest &request);
  http::Response usage(const ApiRequest &request);

private:
  NodeControl &Node;
  SendRequest Send;
  PendingRecords Pending;
};

} // namespace radishcross::admin
