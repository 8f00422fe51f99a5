#pragma once

#include <LibBase/LastReason.h>

#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <string>

namespace radishcross::cli {

/// Sends a change and prints its outcome: accepted, rejected or unknown. The
/// record id is generated here, so that the outcome can be queried even when
/// the node's response is lost. \p what describes the change in the output.
base::ResultCode sendChange(boost::beast::http::verb method,
                            const std::string &target,
                            const boost::json::object &body,
                            const std::string &what);

} // namespace radishcross::cli
