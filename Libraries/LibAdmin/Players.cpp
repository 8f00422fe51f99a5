#include "Players.h"

#include <LibCalls/QuarantinePlayer.h>
#include <LibLog/FoldPlayer.h>
#include <LibLog/HeldPlayer.h>

namespace radishcross::cli {

using trace::Module;

trace::Replay allPlayers() {
  return trace::Replay([] {
    trace::Replay::Players out;
    auto fold = std::make_unique<log::FoldPlayer>();
    out[Module::Snapshot] = std::make_unique<log::HeldPlayer>(*fold);
    out[Module::Fold] = std::move(fold);
    out[Module::Quarantine] = std::make_unique<calls::QuarantinePlayer>();
    return out;
  });
}

} // namespace radishcross::cli
