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

/// One version of one configuration, as loaded by a proxy.
struct ConfigurationVersion {
  std::string Configuration;
  uint64_t Version = 0;
  std::shared_ptr<const VersionContent> Content;
};

/// The route that matches a request, with its destinations. The pointers are
/// valid as long as the snapshot.
struct ResolvedRoute {
  const Route *Matched = nullptr;
  const Service *ServiceDefinition = nullptr;
  std::string ServiceName; ///< "configuration/name".
  /// All destinations of the route with their weights; the fields above are
  /// those of the first.
  const std::vector<Destination> *Destinations = nullptr;
};

/// The complete routing state of a proxy at one point in time, closed under
/// references: the services of every route are part of it. Immutable; a request
/// uses the snapshot that it started with to the end.
class Snapshot {
public:
  /// Builds a snapshot of \p versions, at most one of each configuration. Fails
  /// with DanglingReference, AmbiguousRoute, DuplicateName, or BadValue if two
  /// configurations give one key to two tenants.
  static std::optional<std::shared_ptr<const Snapshot>>
  create(std::vector<ConfigurationVersion> versions, uint64_t offset,
         base::LastReason &reason);

  /// Returns the route that matches a request; Matched is null if none does.
  ResolvedRoute findRoute(std::string_view method, std::string_view host,
                          std::string_view path) const;

  /// Returns the service "configuration/name", or null.
  const Service *findService(std::string_view name) const;

  /// Returns the version number of \p configuration, or 0 if it is not loaded.
  uint64_t versionOf(std::string_view configuration) const;

  /// Returns the version that holds \p route, or null.
  const ConfigurationVersion *versionWith(const Route *route) const;

  /// Returns the client limits, each the strictest that any version sets; the
  /// defaults if none sets any.
  ClientLimits clientLimits() const;

  const std::vector<ConfigurationVersion> &versions() const { return Versions; }

  /// Returns the offset up to which the snapshot reflects the log.
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
