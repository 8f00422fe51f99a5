#pragma once

#include <LibTrace/Replay.h>

namespace radishcross::calls {

/// Adds players for all modules of this library. Each needs a trace that starts
/// with the module's first entries, recorded at the start of its node.
/// FIXME: A recording that starts later must begin with entries that restore
/// the modules' state at that time.
void addPlayers(trace::Replay::Players &players);

} // namespace radishcross::calls
