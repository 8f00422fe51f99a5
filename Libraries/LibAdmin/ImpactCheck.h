#pragma once

#include <LibAdmin/FleetReport.h>
#include <LibConfig/Impact.h>
#include <LibLog/Fold.h>

#include <boost/json/object.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::admin {

/// Planned new content of a configuration.
struct PlannedContent {
  std::string Configuration;
  std::shared_ptr<const config::VersionContent> Content;
};

/// Current usage summed over all nodes.
struct FleetUsage {
  config::Usage Sum;
  size_t Asked = 0;
  size_t Answered = 0;
};

/// Sums the responses to /v1/usage: {"routes": [{"route",
/// "calls_per_second"}], "services": [{"service", "queue_length",
/// "retry_percent"}]}. Ready targets are counted from the membership.
FleetUsage sumUsage(const std::vector<MemberResponse> &answers);

/// Predicted impact of a planned change.
struct ImpactAssessment {
  config::Impact PredictedImpact;
  std::string WaitsFor; ///< Why proxies would not apply it yet, or empty.
};

/// Compares the newest attached version of every configuration before and after
/// the change. Fails when no snapshot of the current state can be built.
std::optional<ImpactAssessment> assessImpact(const log::Fold &fold,
                                             const PlannedContent &planned,
                                             const config::Usage &usage,
                                             base::LastReason &reason);

/// Returns the assessment as JSON: config::encodeImpact() with
/// "configuration", "nodes", "answered" and "waits_for".
boost::json::object impactDocument(const PlannedContent &planned,
                                   const ImpactAssessment &assessment,
                                   const FleetUsage &usage);

} // namespace radishcross::admin
