#pragma once

#include <LibAdmin/NodeSettings.h>

#include <string>
#include <vector>

namespace radishcross::admin {

/// What differs between two settings, by the names of the keys.
struct SettingsDifference {
  std::vector<std::string> Live;    ///< Can change while the node runs.
  std::vector<std::string> Restart; ///< Take effect at the next start.
};

SettingsDifference compareSettings(const NodeSettings &before,
                                   const NodeSettings &after);

/// Returns \p before with those settings of \p after that can change while
/// the node runs.
NodeSettings withLiveSettings(NodeSettings before, const NodeSettings &after);

} // namespace radishcross::admin
