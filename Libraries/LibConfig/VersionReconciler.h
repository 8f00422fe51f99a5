#pragma once

#include <LibConfig/ContentRepair.h>
#include <LibConfig/Snapshot.h>

#include <string_view>
#include <vector>

namespace radishcross::config {

/// Changes versions that are valid by themselves but not together. What \p
/// precedent contains precedes: an equal match or service of another
/// configuration is left out, tenants of one name become one with the keys of
/// all, and services that others refer to remain, without targets.
Repairs reconcileVersions(std::vector<ConfigurationVersion> &versions,
                          std::string_view precedent);

} // namespace radishcross::config
