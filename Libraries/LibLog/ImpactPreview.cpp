#include <LibLog/ImpactPreview.h>
#include <LibLog/VersionPlan.h>

#include <limits>
#include <utility>
#include <vector>

namespace radishcross::log {

std::optional<config::Impact>
previewImpact(const HeldVersions &held, config::ConfigurationVersion candidate,
              const config::Usage &usage, base::LastReason &reason) {
  const auto &current = *held.snapshot();
  if (candidate.Version <= current.versionOf(candidate.Configuration))
    return config::Impact{};
  // The candidate would be accepted after all records in the log.
  constexpr Offset Latest = std::numeric_limits<Offset>::max();
  const std::vector<Candidate> candidates{{std::move(candidate), Latest}};
  VersionPlan plan(current.versions(), candidates);
  auto waiting = plan.waiting();
  if (!waiting.empty())
    return reason.fail(waiting[0].Code, waiting[0].Reason);
  auto next = config::Snapshot::create(plan.result(), current.offset(), reason);
  if (!next)
    return std::nullopt;
  return config::compareImpact(current, **next, usage);
}

} // namespace radishcross::log
