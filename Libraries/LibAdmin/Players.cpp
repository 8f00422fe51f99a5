#include <LibAdmin/Players.h>

#include <LibCalls/AdmissionPlayer.h>
#include <LibCalls/CallPlanPlayer.h>
#include <LibCalls/IdempotencyPlayer.h>
#include <LibCalls/LeasePlayer.h>
#include <LibCalls/QuarantinePlayer.h>
#include <LibFleet/RecoveryPlayer.h>
#include <LibFleet/SpreaderPlayer.h>
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
    out[Module::Admission] = std::make_unique<calls::AdmissionPlayer>();
    out[Module::TargetLease] = std::make_unique<calls::LeasePlayer>();
    out[Module::CallPlan] = std::make_unique<calls::CallPlanPlayer>();
    out[Module::Idempotency] = std::make_unique<calls::IdempotencyPlayer>();
    out[Module::Spreader] = std::make_unique<fleet::SpreaderPlayer>();
    out[Module::Recovery] = std::make_unique<fleet::RecoveryPlayer>();
    out[Module::Quarantine] = std::make_unique<calls::QuarantinePlayer>();
    return out;
  });
}

} // namespace radishcross::admin
