#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/ChangeAnswer.h>
#include <LibAdmin/FleetStatus.h>
#include <LibAdmin/NodeControl.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

namespace radishcross::admin {

/// The handlers of the administration API's resources. Requests were routed,
/// authenticated and authorised before.
class ApiHandlers {
public:
  ApiHandlers(NodeControl &node, SendRequest send)
      : Node(node), Send(std::move(send)) {}

  /// Result of a handler that waits for the log or for other nodes.
  using AsyncResponse = boost::asio::awaitable<http::Response>;

  http::Response health(const ApiRequest &request);
  http::Response readiness(const ApiRequest &request);
  http::Response metrics(const ApiRequest &request);
  http::Response status(const ApiRequest &request);
  AsyncResponse fleet(ApiRequest request);
  http::Response members(const ApiRequest &request);
  http::Response configurations(const ApiRequest &request);
  http::Response configuration(const ApiRequest &request);
  http::Response version(const ApiRequest &request);
  AsyncResponse impact(ApiRequest request);
  AsyncResponse publish(ApiRequest request);
  AsyncResponse attach(ApiRequest request);
  http::Response previewAttach(const ApiRequest &request);
  AsyncResponse detach(ApiRequest request);
  http::Response audit(const ApiRequest &request);
  http::Response record(const ApiRequest &request);
  AsyncResponse drain(ApiRequest request);
  http::Response drainSelf(const ApiRequest &request);
  http::Response allotments(const ApiRequest &request);
  http::Response quarantine(const ApiRequest &request);
  http::Response liftQuarantine(const ApiRequest &request);
  http::Response recording(const ApiRequest &request);
  http::Response route(const ApiRequest &request);
  http::Response usage(const ApiRequest &request);

private:
  NodeControl &Node;
  SendRequest Send;
  PendingRecords Pending;
};

} // namespace radishcross::admin
