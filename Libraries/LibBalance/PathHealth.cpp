#include <LibBalance/PathHealth.h>

namespace radishcross::balance {

void PathHealth::sent(base::TimePoint now) {
  ++InFlight;
  if (!SilentSince)
    SilentSince = now;
}

void PathHealth::answered(bool onNewConnection, base::TimePoint now) {
  removeInFlight();
  if (InFlight > 0)
    SilentSince = now;
  // A working pooled connection says nothing about the other pooled ones.
  if (onNewConnection)
    Suspect = false;
}

void PathHealth::unanswered(bool timedOut) {
  removeInFlight();
  Suspect = Suspect || timedOut;
}

bool PathHealth::tick(base::TimePoint now) {
  if (Suspect || !SilentSince || now - *SilentSince < SilenceLimit)
    return false;
  Suspect = true;
  return true;
}

void PathHealth::removeInFlight() {
  InFlight -= InFlight > 0 ? 1 : 0;
  if (InFlight == 0)
    SilentSince.reset();
}

} // namespace radishcross::balance
