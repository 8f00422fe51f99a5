#pragma once

#include <LibFleet/Gossip.h>

namespace radishcross::fleet {

/// Returns about how many bytes an update takes in a datagram; rather too many
/// than too few.
size_t estimatedBytes(const MemberUpdate &update);

} // namespace radishcross::fleet
