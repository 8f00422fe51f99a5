#include <LibCalls/Players.h>

#include <LibCalls/AdmissionPlayer.h>
#include <LibCalls/CallPlanPlayer.h>
#include <LibCalls/IdempotencyPlayer.h>
#include <LibCalls/LeasePlayer.h>
#include <LibCalls/QuarantinePlayer.h>

#include <memory>

namespace radishcross::calls {

namespace {

template <typename Player>
void add(trace::Replay &replay, trace::Module source) {
  replay.add(source, [] { return std::make_unique<Player>(); });
}

} // namespace

void addPlayers(trace::Replay &replay) {
  add<AdmissionPlayer>(replay, trace::Module::Admission);
  add<CallPlanPlayer>(replay, trace::Module::CallPlan);
  add<IdempotencyPlayer>(replay, trace::Module::Idempotency);
  add<LeasePlayer>(replay, trace::Module::TargetLease);
  add<QuarantinePlayer>(replay, trace::Module::Quarantine);
}

} // namespace radishcross::calls
