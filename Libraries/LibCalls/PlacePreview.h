#pragma once

#include <LibBalance/TargetCandidate.h>
#include <LibBalance/TargetSignals.h>
#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibCalls/CallBroker.h>
#include <LibRollout/VersionGate.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::calls {

/// What speaks against a target.
enum class Against : uint8_t {
  NotReady,      ///< Its state is not ready.
  Leaving,       ///< It has stated that it is leaving.
  Drained,       ///< An operator drains it.
  VersionHeld,   ///< Its version gets no calls now.
  NewVersion,    ///< Its version gets a share of the calls.
  Ejected,       ///< After failures.
  Probing,       ///< One call at a time tests it.
  Refusing,      ///< It, or its node, refused calls lately.
  SuspectNode,   ///< Its node is suspected to have failed.
  OtherLocality, ///< It is in another data centre.
};

constexpr base::EnumName<Against> AgainstNames[] = {
    {Against::NotReady, "not ready"},
    {Against::Leaving, "leaving"},
    {Against::Drained, "drained"},
    {Against::VersionHeld, "version gets no calls"},
    {Against::NewVersion, "version gets a share of the calls"},
    {Against::Ejected, "ejected after failures"},
    {Against::Probing, "probed with one call at a time"},
    {Against::Refusing, "refused calls lately"},
    {Against::SuspectNode, "its node is suspected"},
    {Against::OtherLocality, "other data centre"},
};

/// What a caller's node knows of one target of a service.
struct CandidatePreview {
  balance::TargetCandidate Candidate;
  std::string Region;
  bool IsUsable = false; ///< In principle; see balance::KnownTarget::Usable.
  std::vector<Against> Reasons;
  uint32_t LoadPermille = 0;
  base::Duration KnownAge{};   ///< Of the load; 0: none is known.
  int64_t TimePermille = 0;    ///< Of the mean of the service's targets.
  int64_t RefusedPermille = 0; ///< Of the calls lately, by the target itself.
  uint32_t InFlight = 0;       ///< Of this node.
  uint64_t Score = 0;          ///< See balance::LoadBalancer; lower is better.
  bool HasRoom = false;        ///< See balance::SpareTargets.
  base::Duration ExpectedTime{}; ///< Of such a call there; 0: not known.
  std::optional<balance::MilliRate> StatedRate;
};

/// The versions of a service's targets.
struct VersionsPreview {
  std::string NewVersion;
  uint32_t SharePermille = 0;
  rollout::PlacingAnswer Placed;
};

/// What CallPlanner::begin would decide.
struct PlacePreview {
  CallStep Step; ///< Without numbers and delays of attempts.
  std::vector<CandidatePreview> Candidates;
  std::optional<VersionsPreview> Versions; ///< Nothing: they don't matter.
  int64_t RetriesLeft = 0; ///< Of the service's calls of this rank.
};

} // namespace radishcross::calls
