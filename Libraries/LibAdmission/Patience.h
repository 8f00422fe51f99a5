#pragma once

#include <LibAdmission/RankQueue.h>
#include <LibBase/Clock.h>

namespace radishcross::admission {

/// Returns how long a call may wait so that it still meets its latency
/// objective or, without one, its deadline. \p remaining: time left until the
/// deadline.
base::Duration patienceOf(const WaitingCall &call, base::Duration remaining);

/// Returns whether the answer of a call that starts now would come too late for
/// its objective, because the link has too much to send before it.
bool isTooLateOnLink(const WaitingCall &call, base::Duration remaining);

} // namespace radishcross::admission
