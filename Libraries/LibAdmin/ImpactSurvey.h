#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/FleetStatus.h>
#include <LibAdmin/NodeControl.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace radishcross::admin {

/// Asks all members what they serve now and answers with the impact that the
/// request's content would have.
boost::asio::awaitable<http::Response> handleImpact(const NodeControl &node,
                                                    const ApiRequest &request,
                                                    SendRequest send);

/// Returns the refusal of a publish whose impact is harmful and not accepted,
/// or nothing when it may go on.
boost::asio::awaitable<std::optional<http::Response>>
rejectHarmfulPublish(const NodeControl &node, const ApiRequest &request,
                     SendRequest send);

} // namespace radishcross::admin
