#pragma once

#include <LibAdmin/NodeSettings.h>

#include <string>
#include <vector>

namespace radishcross::admin {

/// Names of the keys that differ between two settings.
struct SettingsDifference {
  std::vector<std::string> Live;    ///< Can change while the node runs.
  std::vector<std::string> Restart; ///< Take effect at the next start.
};

SettingsDifference compareSettings(const NodeSettings &before,
                                   const NodeSettings &after);

/// Returns \p before with those settings of \p after applied that can change
/// while the node runs.
NodeSettings withLiveSettings(NodeSettings before, const NodeSettings &after);

} // namespace radishcross::admin
