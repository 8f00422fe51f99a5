#pragma once

#include <FreeAddress.h>
#include <LibAdmin/NodeSettings.h>

namespace radishcross::test {

/// Sets free addresses for all listeners of a node except that of the metrics.
inline void setFreeListeners(admin::NodeSettings &settings) {
  for (auto *it : {&settings.Calls, &settings.Mesh, &settings.Gossip,
                   &settings.Peer, &settings.Targets, &settings.Administration})
    *it = freeAddress();
}

} // namespace radishcross::test
