#pragma once

#include <LibConfig/ContentRepair.h>
#include <LibConfig/Snapshot.h>

#include <memory>
#include <string>

namespace radishcross::config {

/// The name under which the configuration written by the platform's operator
/// appears beside the product's own configurations.
constexpr std::string_view ExternalConfigurationName = "external";

/// One complete version of the external configuration.
struct ExternalVersion {
  uint64_t Version = 0;
  VersionContent Content;
  Repairs Repaired; ///< What was changed, as it could not be used as it is.
};

/// Holds the newest version of the external configuration. The highest version
/// number wins, whatever the order of arrival, and a version takes effect
/// atomically or not at all.
class ExternalConfiguration {
public:
  /// Replaces the current version by \p version if that is newer and valid on
  /// its own; returns whether it did. Fails with StaleBase, or as
  /// Snapshot::create() does, and then changes nothing.
  bool update(ExternalVersion version, base::LastReason &reason);

  /// Returns the current version number, or 0 before the first version.
  uint64_t version() const { return Current.Version; }

  /// Returns the current version, for inclusion in a snapshot; its Content is
  /// null before the first version.
  const ConfigurationVersion &current() const { return Current; }

private:
  ConfigurationVersion Current{std::string(ExternalConfigurationName), 0,
                               nullptr};
};

} // namespace radishcross::config
