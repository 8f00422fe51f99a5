#pragma once

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/FleetStatus.h>
#include <LibAdmin/NodeControl.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace radishcross::admin {

/// How one kind of change is made.
struct ChangeSpec {
  std::optional<log::Record> (*Build)(const ApiRequest &, const log::Fold &,
                                      base::LastReason &) = nullptr;
  bool RequiresImpactCheck =
      false; ///< A harmful one is refused unless accepted.
};

/// Ids of the records whose fate requests are waiting for.
using PendingRecords = std::set<std::string, std::less<>>;

/// Builds the record that a request asks for, appends it and answers with its
/// fate. A record whose outcome is known already is not appended again; one
/// that another request waits for is unknown as yet, and the answer says so.
boost::asio::awaitable<http::Response>
handleChange(NodeControl &node, ApiRequest request, ChangeSpec spec,
             SendRequest send, PendingRecords &pending);

} // namespace radishcross::admin
