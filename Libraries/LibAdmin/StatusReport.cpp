#include <LibAdmin/StatusReport.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <charconv>
#include <chrono>
#include <set>

namespace radishcross::admin {

namespace {

namespace json = boost::json;

std::string hexText(uint64_t value) {
  std::array<char, 16> buf{};
  auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, 16).ptr;
  return {buf.data(), end};
}

int64_t sinceOf(const std::vector<HoldingSince> &all, const std::string &name,
                uint64_t version) {
  for (const auto &it : all)
    if (it.Configuration == name && it.Version == version)
      return it.SinceUnixMilliseconds;
  return 0;
}

json::object row(const NodeControl &node, const std::string &name) {
  const auto &held = node.held();
  uint64_t version = held.snapshot()->versionOf(name);
  const auto &holdovers = held.holdovers();
  json::object out{
      {"configuration", name},
      {"version", version},
      {"since_unix_ms", sinceOf(node.holdingSince(), name, version)},
      {"wanted", wantedVersion(node.fold(), node.identity(), name)},
      {"holdover",
       std::find(holdovers.begin(), holdovers.end(), name) != holdovers.end()},
  };
  for (const auto &it : held.waiting())
    if (it.Configuration == name)
      out["waiting"] = json::object{
          {"version", it.Version},
          {"code", static_cast<int>(it.Code)},
          {"name", base::describe(it.Code).Name},
          {"reason", it.Reason},
      };
  return out;
}

} // namespace

json::object statusReport(const NodeControl &node,
                          std::string_view configuration) {
  std::set<std::string> names;
  for (const auto &it : node.held().snapshot()->versions())
    names.insert(it.Configuration);
  for (const auto &[name, it] : node.fold().configurations())
    names.insert(name);
  json::array rows;
  for (const auto &name : names)
    if (configuration.empty() || configuration == name)
      rows.push_back(row(node, name));
  const auto &self = node.identity();
  json::object out{
      {"node", self.Id},
      {"data_centre", self.DataCentre},
      {"region", self.Region},
      {"ready", node.ready()},
      {"offset", node.fold().offset()},
      {"fold_hash", hexText(node.fold().hash())},
      {"configurations", std::move(rows)},
  };
  if (auto age = node.externalAge())
    out["external_confirmed_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
  return out;
}

uint64_t wantedVersion(const log::Fold &fold, const fleet::NodeIdentity &node,
                       std::string_view configuration) {
  uint64_t wanted = 0;
  for (const auto &[name, it] : fold.attachments())
    if (it.Configuration == configuration &&
        it.NodeSelector.matches(node.Id, node.NodeLabels))
      wanted = std::max(wanted, it.Version);
  return wanted;
}

} // namespace radishcross::admin
