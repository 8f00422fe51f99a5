#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace radishcross::cli {

/// Formats an impact document of the administration API as readable lines.
std::string impactText(const boost::json::value &impact);

} // namespace radishcross::cli
