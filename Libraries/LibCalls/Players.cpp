#include <LibCalls/Players.h>

#include <LibCalls/CallPlanPlayer.h>
#include <LibCalls/IdempotencyPlayer.h>
#include <LibCalls/QuarantinePlayer.h>

#include <memory>

namespace radishcross::calls {

void addPlayers(trace::Replay::Players &players) {
  using trace::Module;
  players[Module::CallPlan] = std::make_unique<CallPlanPlayer>();
  players[Module::Idempotency] = std::make_unique<IdempotencyPlayer>();
  players[Module::Quarantine] = std::make_unique<QuarantinePlayer>();
}

} // namespace radishcross::calls
