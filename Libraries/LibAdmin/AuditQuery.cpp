#include <LibAdmin/AuditQuery.h>

#include <LibAdmin/Answers.h>

#include <algorithm>
#include <boost/json/array.hpp>

namespace radishcross::admin {

namespace {

namespace json = boost::json;

constexpr uint64_t DefaultLimit = 50;
constexpr uint64_t MaximumLimit = 1000;

/// Filters for audit entries; an empty string matches every entry.
struct Filter {
  std::string Configuration;
  std::string Actor;
  std::string Team;
  std::string Kind;
  std::string Outcome;
  uint64_t Since = 0;
};

bool matches(const std::string &wanted, std::string_view found) {
  return wanted.empty() || wanted == found;
}

bool passes(const Filter &filter, const log::AuditEntry &entry) {
  bool isAccepted = entry.Outcome.Code == base::ResultCode::Ok;
  return entry.Outcome.At >= filter.Since &&
         matches(filter.Configuration, entry.Outcome.Configuration) &&
         matches(filter.Actor, entry.By.Actor) &&
         matches(filter.Team, entry.By.Team) &&
         matches(filter.Kind, base::nameOf(log::RecordKindNames, entry.Kind)) &&
         matches(filter.Outcome, isAccepted ? "accepted" : "rejected");
}

bool checkNames(const Filter &filter, base::LastReason &reason) {
  if (!filter.Kind.empty() &&
      !base::fromName(log::RecordKindNames, filter.Kind)) {
    reason.fail(base::ResultCode::UsageError,
                "kind: found \"" + filter.Kind +
                    "\", expected publish, attach, detach or drain");
    return false;
  }
  if (!filter.Outcome.empty() && filter.Outcome != "accepted" &&
      filter.Outcome != "rejected") {
    reason.fail(base::ResultCode::UsageError,
                "outcome: found \"" + filter.Outcome +
                    "\", expected accepted or rejected");
    return false;
  }
  return true;
}

} // namespace

std::optional<json::object> auditReport(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason) {
  auto limit =
      queryNumber(request, "limit", DefaultLimit, MaximumLimit, reason);
  auto since = queryNumber(request, "since", 0, UINT64_MAX, reason);
  if (!limit || !since)
    return std::nullopt;
  Filter filter{
      queryText(request, "configuration"), queryText(request, "actor"),
      queryText(request, "team"),          queryText(request, "kind"),
      queryText(request, "outcome"),       *since};
  if (!checkNames(filter, reason))
    return std::nullopt;
  json::array entries;
  uint64_t leftOut = 0;
  const auto &audit = fold.audit();
  for (auto it = audit.rbegin(); it != audit.rend(); ++it) {
    if (!passes(filter, *it))
      continue;
    if (entries.size() == *limit)
      ++leftOut;
    else
      entries.push_back(auditDocument(*it));
  }
  std::reverse(entries.begin(), entries.end());
  return json::object{{"entries", std::move(entries)}, {"left_out", leftOut}};
}

} // namespace radishcross::admin
