#pragma once

#include <LibBalance/LoadEstimate.h>
#include <LibBalance/PathHealth.h>
#include <LibBalance/RefusalBackoff.h>
#include <LibBalance/RefusalShare.h>
#include <LibBalance/RelativeTime.h>
#include <LibBalance/StatedLimit.h>
#include <LibBalance/TargetCandidate.h>
#include <LibBalance/TargetHealth.h>
#include <LibBase/Clock.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace radishcross::balance {

/// State that a caller's node keeps for one target.
struct KnownTarget {
  uint64_t Id = 0; ///< Hash of node and target.
  TargetCandidate Candidate;
  std::string Region;
  bool Listed = false; ///< Contained in the last list of members.
  base::TimePoint UnlistedAt{};
  bool Usable = false;  ///< Accepts new calls.
  bool Suspect = false; ///< Its node is suspected to have failed.
  uint32_t InFlight = 0;
  base::TimePoint ReadySince{};
  /// How long it said then that it would remain slow.
  std::optional<base::Duration> WarmUp;
  LoadEstimate Load;
  TargetHealth Health;
  RefusalBackoff Refusals;
  RefusalShare RefusedShare;
  RelativeTime Speed;
  // Stated on answers, by the process with the epoch of Candidate:
  StatedLimit Stated;
  bool IsLeaving = false;
  std::shared_ptr<PathHealth> Path; ///< Shared by the targets of its node.

  /// Returns whether it said that it is still slow.
  bool isWarmingUp(base::TimePoint now) const {
    return WarmUp && now - ReadySince < *WarmUp;
  }
};

} // namespace radishcross::balance
