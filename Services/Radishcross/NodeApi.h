#pragma once

#include <LibBase/LastReason.h>

#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace radishcross::cli {

/// What a node answered: its document and the result code in it.
struct NodeResponse {
  base::ResultCode Code = base::ResultCode::Ok;
  boost::json::value Document;
  std::string Text; ///< The body as it came.
};

/// Asks the node that --node or RADISHCROSS_NODE names. Fails when no whole
/// answer came; a refusal by the node is an answer.
std::optional<NodeResponse> sendToNode(boost::beast::http::verb method,
                                       const std::string &target,
                                       std::string body,
                                       base::LastReason &reason);

/// The same of the node whose administration listener is at \p where,
/// "IP:PORT"; an empty text means the node that sendToNode() asks.
std::optional<NodeResponse> sendToAddress(const std::string &where,
                                          boost::beast::http::verb method,
                                          const std::string &target,
                                          std::string body,
                                          base::LastReason &reason);

/// The same for a GET; a refusal fails as well.
std::optional<NodeResponse> getFromNode(const std::string &target,
                                        base::LastReason &reason,
                                        const std::string &where = "");

} // namespace radishcross::cli
