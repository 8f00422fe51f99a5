#pragma once

#include <LibTrace/Replay.h>

namespace radishcross::admin {

/// Returns a replay that knows the player of every decision module that has
/// one.
trace::Replay allPlayers();

} // namespace radishcross::admin
