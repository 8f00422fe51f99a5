#include <LibAdmin/Players.h>

#include <LibAdmission/Players.h>
#include <LibCalls/Players.h>
#include <LibFleet/RecoveryPlayer.h>
#include <LibFleet/ReplicatorPlayer.h>
#include <LibLog/FoldPlayer.h>
#include <LibLog/HeldPlayer.h>

namespace radishcross::admin {

using trace::Module;

trace::Replay allPlayers() {
  return trace::Replay([] {
    trace::Replay::Players out;
    auto fold = std::make_unique<log::FoldPlayer>();
    out[Module::Snapshot] = std::make_unique<log::HeldPlayer>(*fold);
    out[Module::Fold] = std::move(fold);
    out[Module::Spreader] = std::make_unique<fleet::ReplicatorPlayer>();
    out[Module::Recovery] = std::make_unique<fleet::RecoveryPlayer>();
    admission::addPlayers(out);
    calls::addPlayers(out);
    return out;
  });
}

} // namespace radishcross::admin
