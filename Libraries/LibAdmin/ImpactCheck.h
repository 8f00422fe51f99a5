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

/// A change of what a configuration serves, before it is made.
struct PlannedContent {
  std::string Configuration;
  std::shared_ptr<const config::VersionContent> Content;
};

/// What the nodes together serve now.
struct FleetUsage {
  config::Usage Sum;
  size_t Asked = 0;
  size_t Answered = 0;
};

/// Adds up the answers to /v1/usage: {"routes": [{"route",
/// "calls_per_second"}], "services": [{"service", "queue_length",
/// "retry_percent"}]}. Targets that take work are counted from the members.
FleetUsage sumUsage(const std::vector<MemberResponse> &answers);

/// What a planned change would do.
struct ImpactAssessment {
  config::Impact PredictedImpact;
  std::string WaitsFor; ///< Why proxies would hold it back, or empty.
};

/// Compares the newest attached version of every configuration with the same
/// after the change. Fails when the state of now cannot be put together.
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
