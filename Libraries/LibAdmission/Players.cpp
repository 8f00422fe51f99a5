#include <LibAdmission/Players.h>

#include <LibAdmission/AdmissionPlayer.h>
#include <LibAdmission/LeasePlayer.h>

#include <memory>

namespace radishcross::admission {

void addPlayers(trace::Replay::Players &players) {
  using trace::Module;
  players[Module::Admission] = std::make_unique<AdmissionPlayer>();
  players[Module::TargetLease] = std::make_unique<LeasePlayer>();
}

} // namespace radishcross::admission
