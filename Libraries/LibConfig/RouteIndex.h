#pragma once

#include <LibConfig/Resources.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishcross::config {

/// A service that a route sends requests to.
struct Destination {
  const Service *ServiceDefinition = nullptr;
  const std::string *ServiceName = nullptr; ///< "configuration/name".
  uint32_t Weight = 1;
};

/// Returns \p host in lower case and without its port.
std::string normaliseHost(std::string_view host);

/// Finds the route for a request: the longest path prefix wins, then a route
/// with a host, then one with methods. Keeps views into the routes added, which
/// must outlive the index.
class RouteIndex {
public:
  /// One route with its destinations.
  struct Entry {
    const Route *Matched = nullptr;
    std::vector<Destination> Destinations; ///< At least one.
  };

  /// Adds a route. If a route already in the index matches some request with
  /// equal precedence, returns that route and adds nothing; else returns null.
  const Route *add(const Entry &entry);

  /// Returns the entry that matches a request, or null. A query in \p path, and
  /// the port and letter case of \p host, are ignored.
  const Entry *find(std::string_view method, std::string_view host,
                    std::string_view path) const;

private:
  using ByHost = std::unordered_map<std::string_view, std::vector<Entry>>;

  const Entry *findByPrefix(std::string_view prefix, std::string_view method,
                            std::string_view host) const;
  const Entry *findWithOptionalSlash(std::string_view path, size_t length,
                                     std::string_view method,
                                     std::string_view host) const;

  std::unordered_map<std::string_view, ByHost> ByPrefix;
  size_t MaximumSegments = 0; ///< The most segments in any prefix.
};

} // namespace radishcross::config
