#include <LibAdmin/RouteReport.h>
#include <LibAdmin/TextTable.h>

#include <boost/json/serialize.hpp>
#include <string_view>

// The part of RouteReport that writes a report for people.

namespace radishcross::admin {

namespace {

namespace json = boost::json;

/// Returns a member as text; "-" for null and for an empty text.
std::string textOf(const json::value &from, std::string_view key) {
  const auto &it = from.at(key);
  if (it.is_string())
    return it.as_string().empty() ? "-" : std::string(it.as_string());
  return it.is_null() ? "-" : json::serialize(it);
}

/// Returns what a time of milliseconds means to the reader; empty for 0.
std::string timeOf(const json::value &from, std::string_view key,
                   std::string_view before) {
  const auto &it = from.at(key);
  if (!it.is_int64() || it.as_int64() == 0)
    return {};
  return std::string(before) + json::serialize(it) + " ms";
}

std::string splitOf(const json::value &route) {
  const auto &split = route.at("split").as_array();
  if (split.size() < 2)
    return {};
  std::string out;
  for (const auto &it : split)
    out += (out.empty() ? ", one of " : ", ") + textOf(it, "service") + " (" +
           textOf(it, "weight") + ")";
  return out;
}

std::string routeLine(const json::value &route) {
  if (route.is_null())
    return "route: none matches\n";
  return "route: " + textOf(route, "configuration") + "/" +
         textOf(route, "name") + " of version " + textOf(route, "version") +
         ", service " + textOf(route, "service") + splitOf(route) + ", rank " +
         textOf(route, "rank") + ", " + textOf(route, "left_ms") + " ms left" +
         timeOf(route, "objective_ms", ", objective ") + ", " +
         (route.at("repeatable").as_bool() ? "may be repeated"
                                           : "may not be repeated") +
         "\n";
}

std::string tenantLine(const json::value &tenant) {
  if (tenant.is_null())
    return {};
  std::string out =
      "tenant: " + textOf(tenant, "name") + ", rank " + textOf(tenant, "rank");
  if (const auto *allotment = tenant.as_object().if_contains("allotment"))
    out += ", allotment " + textOf(*allotment, "rate_per_second") +
           " a second, held here " + textOf(*allotment, "held");
  return out + "\n";
}

std::string versionsLine(const json::value &versions) {
  if (versions.is_null())
    return {};
  return "versions: " + textOf(versions, "new") + " gets " +
         textOf(versions, "share_permille") + " permille of the calls (" +
         textOf(versions, "why") + "), this call goes to the " +
         textOf(versions, "this_call") + " one\n";
}

std::string againstOf(const json::value &candidate) {
  std::string out;
  for (const auto &it : candidate.at("against").as_array())
    out += (out.empty() ? "" : "; ") + std::string(it.as_string());
  return out;
}

std::string candidateTable(const json::value &report) {
  const auto &candidates = report.at("candidates").as_array();
  if (candidates.empty())
    return {};
  TextTable table({"", "NODE", "TARGET", "DATA CENTRE", "LOAD", "AGE MS",
                   "TIME", "OWN", "SLOTS", "EXPECTED MS", "SCORE", "AGAINST"});
  const auto *to = report.as_object().if_contains("to");
  for (const auto &it : candidates) {
    const bool isChosen = to && to->at("node") == it.at("node") &&
                          to->at("target") == it.at("target");
    table.add({isChosen ? ">" : "", textOf(it, "node"), textOf(it, "target"),
               textOf(it, "data_centre"), textOf(it, "load_permille"),
               textOf(it, "known_ms"), textOf(it, "time_permille"),
               textOf(it, "own_calls"), textOf(it, "slots"),
               textOf(it, "expected_ms"), textOf(it, "score"), againstOf(it)});
  }
  return table.text();
}

std::string endLine(const json::value &report) {
  if (const auto *to = report.as_object().if_contains("to"))
    return "goes to: " + textOf(*to, "target") + " at " + textOf(*to, "node") +
           " in " + textOf(*to, "data_centre") + ", retries left " +
           textOf(report, "retries_left") + "\n";
  const auto &refused = report.at("refused");
  const auto stop = textOf(refused, "stop");
  return "refused: " + textOf(refused, "status") + ", " +
         textOf(refused, "code") + " " + textOf(refused, "name") +
         (stop == "-" ? "" : " (" + stop + ")") +
         timeOf(refused, "retry_after_ms", ", come back after ") + "\n";
}

} // namespace

std::string routeText(const json::value &report) {
  return routeLine(report.at("route")) + tenantLine(report.at("tenant")) +
         versionsLine(report.at("versions")) + candidateTable(report) +
         endLine(report);
}

} // namespace radishcross::admin
