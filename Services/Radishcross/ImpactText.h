#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace radishcross::cli {

/// Returns an impact, as the administration API gives it, in lines for people.
std::string impactText(const boost::json::value &impact);

} // namespace radishcross::cli
