#pragma once

#include <LibTrace/Replay.h>

namespace radishcross::admission {

/// Adds players for all modules of this library; see calls::addPlayers().
void addPlayers(trace::Replay::Players &players);

} // namespace radishcross::admission
