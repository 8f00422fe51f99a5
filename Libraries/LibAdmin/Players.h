#pragma once

#include <LibTrace/Replay.h>

namespace radishcross::admin {

/// Returns a replay with the players of all decision modules that have one.
trace::Replay allPlayers();

} // namespace radishcross::admin
