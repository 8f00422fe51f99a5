#include <LibConfig/VersionContentCheck.h>
#include <LibConfig/VersionContentCodec.h>
#include <LibSchema/JsonSchema.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <utility>

namespace radishcross::embedded {
extern const std::string_view VersionText;
} // namespace radishcross::embedded

namespace radishcross::config {

namespace {

using base::ResultCode;
using boost::json::array;
using boost::json::object;
using boost::json::value;

const schema::JsonSchema *versionSchema() {
  static const auto compiled = [] {
    base::LastReason reason;
    return schema::JsonSchema::create(embedded::VersionText, reason);
  }();
  return compiled ? &*compiled : nullptr;
}

// These readers run after schema validation and rely on the types it ensures.

const array &listAt(const object &from, std::string_view key) {
  static const array empty;
  const auto *found = from.if_contains(key);
  return found ? found->get_array() : empty;
}

std::string stringAt(const object &from, std::string_view key,
                     std::string_view fallback) {
  const auto *found = from.if_contains(key);
  return std::string(found ? std::string_view(found->get_string()) : fallback);
}

int64_t numberAt(const object &from, std::string_view key, int64_t fallback) {
  const auto *found = from.if_contains(key);
  return found ? found->get_int64() : fallback;
}

bool flagAt(const object &from, std::string_view key) {
  const auto *found = from.if_contains(key);
  return found && found->get_bool();
}

/// Maps a key of a service's "limits" to a member.
struct LimitRow {
  std::string_view Key;
  uint32_t ServiceLimits::*Member;
};

constexpr LimitRow Limits[] = {
    {"queue_length", &ServiceLimits::QueueLength},
    {"standard_floor_percent", &ServiceLimits::StandardFloorPercent},
    {"background_floor_percent", &ServiceLimits::BackgroundFloorPercent},
    {"retry_budget_percent", &ServiceLimits::RetryBudgetPercent},
};

std::chrono::milliseconds millisecondsOf(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/// Maps a key of the document's "limits" to a member.
struct ClientSizeRow {
  std::string_view Key;
  uint64_t ClientLimits::*Member;
};

constexpr ClientSizeRow ClientSizes[] = {
    {"header_bytes", &ClientLimits::HeaderBytes},
    {"body_bytes", &ClientLimits::BodyBytes},
};

struct ClientTimeRow {
  std::string_view Key;
  base::Duration ClientLimits::*Member;
};

constexpr ClientTimeRow ClientTimes[] = {
    {"header_timeout_ms", &ClientLimits::HeaderTimeout},
    {"idle_timeout_ms", &ClientLimits::IdleTimeout},
};

ClientLimits readClientLimits(const object &from) {
  ClientLimits out;
  for (const auto &row : ClientSizes)
    out.*row.Member = static_cast<uint64_t>(
        numberAt(from, row.Key, static_cast<int64_t>(out.*row.Member)));
  for (const auto &row : ClientTimes)
    out.*row.Member = std::chrono::milliseconds(
        numberAt(from, row.Key, millisecondsOf(out.*row.Member).count()));
  return out;
}

object writeClientLimits(const ClientLimits &limits) {
  object out;
  for (const auto &row : ClientSizes)
    out[row.Key] = static_cast<int64_t>(limits.*row.Member);
  for (const auto &row : ClientTimes)
    out[row.Key] =
        static_cast<int64_t>(millisecondsOf(limits.*row.Member).count());
  return out;
}

Service readService(const object &from) {
  Service out;
  out.Name = stringAt(from, "name", "");
  out.HealthPath = stringAt(from, "health_path", "");
  out.MaximumConnections = static_cast<uint32_t>(
      numberAt(from, "max_connections", out.MaximumConnections));
  const auto *limits = from.if_contains("limits");
  if (!limits)
    return out;
  for (const auto &row : Limits)
    out.Limits.*row.Member = static_cast<uint32_t>(
        numberAt(limits->get_object(), row.Key, out.Limits.*row.Member));
  return out;
}

std::string toLowerCase(std::string text) {
  for (char &c : text)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return text;
}

RouteMatch readMatch(const object &from) {
  RouteMatch out;
  for (const auto &it : listAt(from, "methods"))
    out.Methods.emplace_back(it.get_string());
  std::sort(out.Methods.begin(), out.Methods.end());
  out.Methods.erase(std::unique(out.Methods.begin(), out.Methods.end()),
                    out.Methods.end());
  out.Host = toLowerCase(stringAt(from, "host", ""));
  out.PathPrefix = stringAt(from, "path_prefix", "/");
  while (out.PathPrefix.size() > 1 && out.PathPrefix.back() == '/')
    out.PathPrefix.pop_back();
  return out;
}

WeightedService readWeightedService(const object &from) {
  return {stringAt(from, "service", ""),
          static_cast<uint32_t>(numberAt(from, "weight", 1))};
}

Route readRoute(const object &from) {
  Route out;
  out.Name = stringAt(from, "name", "");
  if (const auto *match = from.if_contains("match"))
    out.Match = readMatch(match->get_object());
  out.Service = stringAt(from, "service", "");
  out.CallRank = base::fromName(RankNames, stringAt(from, "rank", "background"))
                     .value_or(Rank::Background);
  for (const auto &it : listAt(from, "split"))
    out.Split.push_back(readWeightedService(it.get_object()));
  out.Deadline = std::chrono::milliseconds(
      numberAt(from, "deadline_ms", millisecondsOf(out.Deadline).count()));
  out.LatencyObjective =
      std::chrono::milliseconds(numberAt(from, "latency_objective_ms", 0));
  out.MaximumAttempts = static_cast<uint32_t>(
      numberAt(from, "max_attempts", out.MaximumAttempts));
  out.Idempotent = flagAt(from, "idempotent");
  out.IsPublic = flagAt(from, "public");
  return out;
}

Tenant readTenant(const object &from) {
  Tenant out;
  out.Name = stringAt(from, "name", "");
  for (const auto &it : listAt(from, "keys_sha256"))
    out.KeyHashes.emplace_back(it.get_string());
  if (from.contains("rank"))
    out.CallRank = base::fromName(RankNames, stringAt(from, "rank", ""));
  out.RatePerSecond =
      static_cast<uint32_t>(numberAt(from, "rate_per_second", 0));
  out.Burst = static_cast<uint32_t>(numberAt(from, "burst", 0));
  return out;
}

/// Checks what the schema cannot express: a route has either a service or a
/// split.
bool checkServiceOrSplit(const object &route, const std::string &path,
                         base::LastReason &reason) {
  bool hasService = route.contains("service");
  bool hasSplit = route.contains("split");
  if (hasService != hasSplit)
    return true;
  if (hasSplit)
    reason.fail(ResultCode::BadRoute,
                path +
                    ".split: found \"a split beside a service\", expected one "
                    "of them");
  else
    reason.fail(ResultCode::MissingKey,
                path + ".service: found nothing, expected a service or a "
                       "split");
  return false;
}

object writeService(const Service &service) {
  object limits;
  for (const auto &row : Limits)
    limits[row.Key] = static_cast<int64_t>(service.Limits.*row.Member);
  return {
      {"name", service.Name},
      {"limits", std::move(limits)},
      {"health_path", service.HealthPath},
      {"max_connections", static_cast<int64_t>(service.MaximumConnections)}};
}

array writeSplit(const std::vector<WeightedService> &split) {
  array out;
  for (const auto &it : split)
    out.push_back(object{{"service", it.Service},
                         {"weight", static_cast<int64_t>(it.Weight)}});
  return out;
}

object writeRoute(const Route &route) {
  array methods(route.Match.Methods.begin(), route.Match.Methods.end());
  object match{{"methods", std::move(methods)},
               {"host", route.Match.Host},
               {"path_prefix", route.Match.PathPrefix}};
  object out{
      {"name", route.Name},
      {"match", std::move(match)},
      {"rank", base::nameOf(RankNames, route.CallRank)},
      {"deadline_ms",
       static_cast<int64_t>(millisecondsOf(route.Deadline).count())},
      {"latency_objective_ms",
       static_cast<int64_t>(millisecondsOf(route.LatencyObjective).count())},
      {"max_attempts", static_cast<int64_t>(route.MaximumAttempts)},
      {"idempotent", route.Idempotent},
      {"public", route.IsPublic}};
  if (route.Split.empty())
    out["service"] = route.Service;
  else
    out["split"] = writeSplit(route.Split);
  return out;
}

object writeTenant(const Tenant &tenant) {
  array keys(tenant.KeyHashes.begin(), tenant.KeyHashes.end());
  object out{{"name", tenant.Name},
             {"keys_sha256", std::move(keys)},
             {"rate_per_second", static_cast<int64_t>(tenant.RatePerSecond)},
             {"burst", static_cast<int64_t>(tenant.Burst)}};
  if (tenant.CallRank)
    out["rank"] = base::nameOf(RankNames, *tenant.CallRank);
  return out;
}

} // namespace

std::string_view versionSchemaText() { return embedded::VersionText; }

std::optional<VersionContent> decodeVersionContent(const value &document,
                                                   base::LastReason &reason) {
  const auto *schema = versionSchema();
  if (!schema)
    return reason.fail(ResultCode::Internal, "the version schema is defective");
  if (!schema->check(document, reason))
    return std::nullopt;
  VersionContent out;
  for (const auto &it : listAt(document.get_object(), "services"))
    out.Services.push_back(readService(it.get_object()));
  for (const auto &it : listAt(document.get_object(), "routes")) {
    std::string path = "routes[" + std::to_string(out.Routes.size()) + "]";
    if (!checkServiceOrSplit(it.get_object(), path, reason))
      return std::nullopt;
    out.Routes.push_back(readRoute(it.get_object()));
  }
  if (const auto *limits = document.get_object().if_contains("limits"))
    out.Limits = readClientLimits(limits->get_object());
  for (const auto &it : listAt(document.get_object(), "tenants"))
    out.Tenants.push_back(readTenant(it.get_object()));
  if (!checkVersionContent(out, reason))
    return std::nullopt;
  return out;
}

value encodeVersionContent(const VersionContent &content) {
  array services;
  for (const auto &it : content.Services)
    services.emplace_back(writeService(it));
  array routes;
  for (const auto &it : content.Routes)
    routes.emplace_back(writeRoute(it));
  object out{{"services", std::move(services)}, {"routes", std::move(routes)}};
  if (content.Limits)
    out["limits"] = writeClientLimits(*content.Limits);
  if (content.Tenants.empty())
    return out;
  array tenants;
  for (const auto &it : content.Tenants)
    tenants.emplace_back(writeTenant(it));
  out["tenants"] = std::move(tenants);
  return out;
}

} // namespace radishcross::config
