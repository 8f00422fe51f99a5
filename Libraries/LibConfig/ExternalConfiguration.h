#pragma once

#include <LibConfig/Snapshot.h>

#include <memory>
#include <string>

namespace radishcross::config {

/// The configuration that the platform's operator writes, under this name
/// beside the product's own ones.
constexpr std::string_view ExternalConfigurationName = "external";

/// One whole version of it.
struct ExternalVersion {
  uint64_t Version = 0;
  VersionContent Content;
};

/// Holds the newest version of the external configuration: a higher number
/// wins, whatever the order of arrival, and a version comes in force whole or
/// not at all.
class ExternalConfiguration {
public:
  /// Takes a version; returns whether it is newer than what was held and valid
  /// by itself. Otherwise \p reason says why not.
  bool update(ExternalVersion version, base::LastReason &reason);

  /// Returns the number held, 0 for none.
  uint64_t version() const { return Current.Version; }

  /// Returns the version held, to be made part of a snapshot; its Content is
  /// null before the first.
  const ConfigurationVersion &current() const { return Current; }

private:
  ConfigurationVersion Current{std::string(ExternalConfigurationName), 0,
                               nullptr};
};

} // namespace radishcross::config
