#include <LibCalls/PathHealth.h>

namespace radishcross::calls {

void PathDoubt::sent(base::TimePoint now) {
  ++InFlight;
  if (!SilentSince)
    SilentSince = now;
}

void PathDoubt::answered(bool onFreshConnection, base::TimePoint now) {
  leave();
  if (InFlight > 0)
    SilentSince = now;
  // An old connection that works says nothing of the other old ones.
  if (onFreshConnection)
    Doubtful = false;
}

void PathDoubt::unanswered(bool timedOut) {
  leave();
  Doubtful = Doubtful || timedOut;
}

bool PathDoubt::tick(base::TimePoint now) {
  if (Doubtful || !SilentSince || now - *SilentSince < SilenceLimit)
    return false;
  Doubtful = true;
  return true;
}

void PathDoubt::leave() {
  InFlight -= InFlight > 0 ? 1 : 0;
  if (InFlight == 0)
    SilentSince.reset();
}

} // namespace radishcross::calls
