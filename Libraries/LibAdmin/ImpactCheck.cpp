#include <LibAdmin/ImpactCheck.h>

#include <LibAdmin/DocumentReader.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <map>

namespace radishcross::admin {

namespace {

namespace json = boost::json;

/// Returns an array member; an empty array when it is missing.
const json::array &rowsAt(const json::object &from, std::string_view key) {
  static const json::array none;
  const auto *value = from.if_contains(key);
  return value && value->is_array() ? value->as_array() : none;
}

void addCalls(const json::object &status, config::Usage &sum) {
  for (const auto &it : rowsAt(status, "routes"))
    if (const auto *row = it.if_object())
      sum.CallsPerSecond[textAt(*row, "route")] +=
          numberAt<double>(*row, "calls_per_second");
}

void addServices(const json::object &status, config::Usage &sum) {
  for (const auto &it : rowsAt(status, "services")) {
    const auto *row = it.if_object();
    if (!row)
      continue;
    auto &service = sum.Services[textAt(*row, "service")];
    service.QueueLength =
        std::max(service.QueueLength, numberAt<uint32_t>(*row, "queue_length"));
    service.RetryPercent = std::max(service.RetryPercent,
                                    numberAt<uint32_t>(*row, "retry_percent"));
  }
}

void addTargets(const fleet::Member &member, config::Usage &sum) {
  if (member.State != fleet::MemberState::Alive)
    return;
  for (const auto &it : member.Targets)
    if (it.State == fleet::TargetState::Ready)
      ++sum.Services[it.Service].Targets;
}

using Contents =
    std::map<std::string, config::ConfigurationVersion, std::less<>>;

/// Returns the newest attached version of every configuration.
std::optional<Contents> attachedContents(const log::Fold &fold,
                                         base::LastReason &reason) {
  Contents out;
  for (const auto &[name, it] : fold.attachments()) {
    auto &held = out[it.Configuration];
    if (held.Version >= it.Version)
      continue;
    held.Configuration = it.Configuration;
    held.Version = it.Version;
    held.Content = fold.contentOf(it.Configuration, it.Version, reason);
    if (!held.Content)
      return std::nullopt;
  }
  return out;
}

std::optional<config::SnapshotPointer> snapshotOf(const Contents &contents,
                                                  log::Offset offset,
                                                  base::LastReason &reason) {
  std::vector<config::ConfigurationVersion> versions;
  versions.reserve(contents.size());
  for (const auto &[name, it] : contents)
    versions.push_back(it);
  return config::Snapshot::create(std::move(versions), offset, reason);
}

/// Returns a snapshot of \p contents, without the configurations whose
/// references are missing.
std::optional<config::SnapshotPointer>
consistentSnapshot(const Contents &contents, log::Offset offset,
                   base::LastReason &reason) {
  if (auto whole = snapshotOf(contents, offset, reason))
    return whole;
  Contents consistent;
  for (const auto &[name, it] : contents) {
    consistent[name] = it;
    base::LastReason ignored;
    if (!snapshotOf(consistent, offset, ignored))
      consistent.erase(name);
  }
  return snapshotOf(consistent, offset, reason);
}

} // namespace

FleetUsage sumUsage(const std::vector<MemberResponse> &answers) {
  FleetUsage out;
  out.Asked = answers.size();
  for (const auto &it : answers) {
    addTargets(it.QueriedMember, out.Sum);
    if (!it.Status)
      continue;
    ++out.Answered;
    addCalls(*it.Status, out.Sum);
    addServices(*it.Status, out.Sum);
  }
  return out;
}

std::optional<ImpactAssessment> assessImpact(const log::Fold &fold,
                                             const PlannedContent &planned,
                                             const config::Usage &usage,
                                             base::LastReason &reason) {
  auto contents = attachedContents(fold, reason);
  if (!contents)
    return std::nullopt;
  auto current = consistentSnapshot(*contents, fold.offset(), reason);
  if (!current)
    return std::nullopt;
  auto &changed = (*contents)[planned.Configuration];
  changed.Configuration = planned.Configuration;
  ++changed.Version;
  changed.Content = planned.Content;
  ImpactAssessment out;
  base::LastReason waits;
  auto candidate = snapshotOf(*contents, fold.offset(), waits);
  if (!candidate) {
    out.WaitsFor = waits.text();
    return out;
  }
  out.PredictedImpact = config::compareImpact(**current, **candidate, usage);
  // A service that already has no targets is not harmed by the change, and a
  // version that fixes it must not be rejected.
  auto already = config::compareImpact(**current, **current, usage);
  for (const auto &it : already.WithoutTargets)
    std::erase(out.PredictedImpact.WithoutTargets, it);
  return out;
}

json::object impactDocument(const PlannedContent &planned,
                            const ImpactAssessment &assessment,
                            const FleetUsage &usage) {
  auto out = config::encodeImpact(assessment.PredictedImpact).as_object();
  out["configuration"] = planned.Configuration;
  out["nodes"] = usage.Asked;
  out["answered"] = usage.Answered;
  out["waits_for"] = assessment.WaitsFor;
  return out;
}

} // namespace radishcross::admin
