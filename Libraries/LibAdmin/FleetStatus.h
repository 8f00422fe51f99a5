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
using Ask = std::function<boost::asio::awaitable<std::optional<http::Response>>(
    const base::Address &server, http::Request request, base::Duration timeout,
    base::LastReason &reason)>;

/// Asks every member that is alive or suspect where it stands, a bounded number
/// at once, and returns all but those that left, by data centre and node. Dead
/// members are listed without being asked; a member that was not asked in time
/// says so. \p authorization is passed on.
boost::asio::awaitable<std::vector<MemberAnswer>>
askFleet(std::vector<fleet::Member> members, std::string configuration,
         std::string authorization, Ask ask);

} // namespace radishcross::admin
