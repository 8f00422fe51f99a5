#pragma once

#include <LibFleet/Gossip.h>

namespace radishcross::fleet {

/// Returns an estimate, rather too high than too low, of the bytes an update
/// takes in a datagram.
size_t estimatedBytes(const MemberUpdate &update);

} // namespace radishcross::fleet
