#pragma once

#include <LibBase/LastReason.h>

#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace radishcross::cli {

/// A node's response: its JSON document and the result code in it.
struct NodeResponse {
  base::ResultCode Code = base::ResultCode::Ok;
  boost::json::value Document;
  std::string Text; ///< The unparsed body.
};

/// Sends a request to the node given by --node or RADISHCROSS_NODE. Fails when
/// no complete response was received; an error response is not a failure.
std::optional<NodeResponse> sendToNode(boost::beast::http::verb method,
                                       const std::string &target,
                                       std::string body,
                                       base::LastReason &reason);

/// Does the same with the node whose administration listener is at \p where,
/// "IP:PORT"; an empty string selects the node of sendToNode().
std::optional<NodeResponse> sendToAddress(const std::string &where,
                                          boost::beast::http::verb method,
                                          const std::string &target,
                                          std::string body,
                                          base::LastReason &reason);

/// Sends a GET to that node; an error response fails as well.
std::optional<NodeResponse> getFromNode(const std::string &target,
                                        base::LastReason &reason,
                                        const std::string &where = "");

} // namespace radishcross::cli
