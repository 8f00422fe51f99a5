#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/LoadEstimate.h>
#include <LibCalls/PathHealth.h>
#include <LibCalls/RefusalBackoff.h>
#include <LibCalls/TargetCandidate.h>
#include <LibCalls/TargetHealth.h>

#include <cstdint>
#include <memory>
#include <string>

namespace radishcross::calls {

/// What a caller's node knows of one target.
struct KnownTarget {
  uint64_t Id = 0; ///< Hash of node and target.
  TargetCandidate Candidate;
  std::string Region;
  bool Listed = false;  ///< Named by the last list of members.
  bool Usable = false;  ///< Takes new work.
  bool Suspect = false; ///< Its node is suspected to have failed.
  uint32_t InFlight = 0;
  base::TimePoint ReadySince{};
  LoadEstimate Load;
  TargetHealth Health;
  RefusalBackoff Refusals;
  std::shared_ptr<PathHealth> Path; ///< Shared by the targets of its node.
};

} // namespace radishcross::calls
