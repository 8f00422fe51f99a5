#pragma once

#include <LibTrace/Replay.h>

namespace radishcross::calls {

/// Adds new players of all decisions about calls. Each needs a trace that
/// begins with the module's first entries, those of the start of its node.
/// FIXME: A recording that begins later has to begin with entries that set up
/// the state which the modules have then.
void addPlayers(trace::Replay::Players &players);

} // namespace radishcross::calls
