#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/FleetStatus.h>
#include <LibAdmin/NodeControl.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace radishcross::admin {

/// Queries the current usage of all members and returns the predicted impact of
/// the request's content.
boost::asio::awaitable<http::Response> handleImpact(const NodeControl &node,
                                                    const ApiRequest &request,
                                                    SendRequest send);

/// Returns the rejection of a publish whose impact is harmful and was not
/// accepted, or nothing when the publish may proceed.
boost::asio::awaitable<std::optional<http::Response>>
rejectHarmfulPublish(const NodeControl &node, const ApiRequest &request,
                     SendRequest send);

} // namespace radishcross::admin
