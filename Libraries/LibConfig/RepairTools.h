#pragma once

#include <LibConfig/Resources.h>

#include <string>
#include <string_view>
#include <vector>

namespace radishcross::config::detail {

inline std::string quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

/// Keys of the requests that a route matches, unique in a snapshot.
inline std::vector<std::string> matchKeys(const RouteMatch &match) {
  auto methods = match.Methods;
  if (methods.empty())
    methods.emplace_back();
  std::vector<std::string> out;
  out.reserve(methods.size());
  for (const auto &it : methods)
    out.push_back(match.PathPrefix + '\n' + match.Host + '\n' + it);
  return out;
}

inline std::vector<WeightedService> servicesOf(const Route &route) {
  if (!route.Split.empty())
    return route.Split;
  return {{route.Service, 1}};
}

} // namespace radishcross::config::detail
