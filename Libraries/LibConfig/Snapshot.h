#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Resources.h>
#include <LibConfig/RouteIndex.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::config {

/// One configuration's version as a proxy holds it.
struct ConfigurationVersion {
  std::string Configuration;
  uint64_t Version = 0;
  std::shared_ptr<const VersionContent> Content;
};

/// A route that was found for a request, with the service it points at. The
/// pointers live as long as the snapshot.
struct ResolvedRoute {
  const Route *Matched = nullptr;
  const Service *ServiceDefinition = nullptr;
  std::string ServiceName; ///< "configuration/name".
  /// All services of the route by weight; the fields above name the first.
  const std::vector<Destination> *Destinations = nullptr;
};

/// All that one proxy holds at one moment, closed under references: every
/// route's service is in it. Immutable; a request keeps the snapshot that it
/// began with.
class Snapshot {
public:
  /// Builds the snapshot of \p versions. Fails with DanglingReference or
  /// AmbiguousRoute and then nothing of it is applied.
  static std::optional<std::shared_ptr<const Snapshot>>
  create(std::vector<ConfigurationVersion> versions, uint64_t offset,
         base::LastReason &reason);

  /// Returns the route for a request, or an empty hit.
  ResolvedRoute findRoute(std::string_view method, std::string_view host,
                          std::string_view path) const;

  /// Returns the service "configuration/name", or null.
  const Service *findService(std::string_view name) const;

  /// Returns the version held of \p configuration, or 0.
  uint64_t versionOf(std::string_view configuration) const;

  /// Returns the strictest limits that a version held sets to clients.
  ClientLimits clientLimits() const;

  const std::vector<ConfigurationVersion> &versions() const { return Versions; }

  /// Returns the log offset up to which the snapshot reflects the log.
  uint64_t offset() const { return LogOffset; }

private:
  Snapshot() = default;
  struct Index;
  std::vector<ConfigurationVersion> Versions;
  uint64_t LogOffset = 0;
  std::shared_ptr<const Index> Indexes;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace radishcross::config
