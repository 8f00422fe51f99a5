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

/// How one kind of change is validated and turned into a record.
struct ChangeSpec {
  std::optional<log::Record> (*Build)(const ApiRequest &, const log::Fold &,
                                      base::LastReason &) = nullptr;
  bool RequiresImpactCheck = false; ///< Harmful impact must be accepted.
};

/// Ids of the records that requests are appending now.
using PendingRecords = std::set<std::string, std::less<>>;

/// Builds the record for a request, appends it and returns its outcome. A
/// record whose outcome is already known is not appended again; for one that
/// another request is still appending the outcome is "unknown".
boost::asio::awaitable<http::Response>
handleChange(NodeControl &node, ApiRequest request, ChangeSpec spec,
             SendRequest send, PendingRecords &pending);

} // namespace radishcross::admin
