#pragma once

#include <LibBase/Clock.h>

#include <algorithm>
#include <cstdint>

namespace radishcross::balance {

/// What a further call of one kind would meet at one target.
struct WorkAhead {
  uint32_t Slots = 1;        ///< Calls that the target may run at once.
  bool HasFreeSlot = false;  ///< For this call.
  base::Duration Queued{};   ///< Slot time of the calls that start before it.
  base::Duration SlotTime{}; ///< Expected, of the call itself.
  base::Duration RateWait{}; ///< Until the target's rate limit allows it.
  base::Duration LinkTime{}; ///< For its answer, and those before it.
};

/// When a call is expected to start and to be answered, from now: the gate's
/// estimate for waiting, for refusing early and for thin links.
struct TimeEstimate {
  base::Duration Wait{};       ///< Until it starts.
  base::Duration Completion{}; ///< Until its answer has been sent.
};

/// With all slots in use one becomes free in each slot time divided by their
/// number.
inline TimeEstimate estimateTime(const WorkAhead &work) {
  const auto slots = static_cast<int64_t>(std::max(work.Slots, 1U));
  const auto slotWait = work.HasFreeSlot
                            ? base::Duration::zero()
                            : (work.Queued + work.SlotTime) / slots;
  const auto wait = std::max(slotWait, work.RateWait);
  return {wait, wait + work.SlotTime + work.LinkTime};
}

} // namespace radishcross::balance
