#pragma once

#include <LibAdmin/FleetReport.h>
#include <LibAdmin/NodeControl.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace radishcross::admin {

/// Sends one request to another node's administration listener: http::fetch,
/// or a fake in tests.
using SendRequest =
    std::function<boost::asio::awaitable<std::optional<http::Response>>(
        const base::Address &server, http::Request request,
        base::Duration timeout, base::LastReason &reason)>;

/// A GET request that is sent to all members.
struct FleetQuery {
  std::string Target; ///< Path and query of the GET.
  std::string Authorization;
  base::Duration RequestTimeout = std::chrono::seconds(1);
  base::Duration TotalTimeout = std::chrono::seconds(6);
};

/// Queries every alive or suspect member, a bounded number at once, and returns
/// all members except those that left, ordered by data centre and node. Dead
/// members are listed without being queried; a member that was not queried
/// within the total timeout is listed with that reason.
boost::asio::awaitable<std::vector<MemberResponse>>
queryFleet(std::vector<fleet::Member> members, FleetQuery query,
           SendRequest send);

} // namespace radishcross::admin
