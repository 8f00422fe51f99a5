#include "Players.h"

namespace radishcross::cli {

// FIXME: Register the players of the decision modules here.
trace::Replay allPlayers() { return {}; }

} // namespace radishcross::cli
