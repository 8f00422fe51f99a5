#pragma once

#include <map>
#include <string>

namespace radishcross::config {

/// Labels of a proxy or a target, such as {"tier", "edge"}. The node adds
/// "data_centre" and "region" from its settings.
using Labels = std::map<std::string, std::string, std::less<>>;

} // namespace radishcross::config
