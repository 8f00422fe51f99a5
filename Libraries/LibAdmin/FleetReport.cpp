#include <LibAdmin/FleetReport.h>

#include <LibAdmin/DocumentReader.h>
#include <LibAdmin/StatusReport.h>

#include <boost/json/array.hpp>

namespace radishcross::admin {

namespace {

namespace json = boost::json;

/// State of one configuration on one node.
struct Holding {
  uint64_t Wanted = 0;
  uint64_t Version = 0;
  int64_t SinceUnixMilliseconds = 0;
  Standing NodeStanding = Standing::NotSelected;
  std::string Reason;
};

/// Returns the row of \p configuration in a node's status report, or null.
const json::object *rowOf(const json::object &status,
                          std::string_view configuration) {
  const auto *rows = status.if_contains("configurations");
  if (!rows || !rows->is_array())
    return nullptr;
  for (const auto &it : rows->as_array())
    if (it.is_object() &&
        textAt(it.as_object(), "configuration") == configuration)
      return &it.as_object();
  return nullptr;
}

void classify(Holding &out, const json::object *row) {
  const auto *waiting = row ? row->if_contains("waiting") : nullptr;
  if (waiting && waiting->is_object())
    out.Reason = textAt(waiting->as_object(), "reason");
  if (out.Wanted == 0)
    out.NodeStanding =
        out.Version == 0 ? Standing::NotSelected : Standing::Holdover;
  else if (out.Version >= out.Wanted)
    out.NodeStanding = Standing::Current;
  else
    out.NodeStanding =
        out.Reason.empty() ? Standing::Behind : Standing::Waiting;
}

Holding holdingOf(const log::Fold &fold, const MemberResponse &answer,
                  std::string_view configuration) {
  Holding out;
  out.Wanted =
      wantedVersion(fold, answer.QueriedMember.Identity, configuration);
  if (!answer.Status) {
    out.Reason = answer.Reason.text();
    out.NodeStanding =
        out.Wanted == 0 ? Standing::NotSelected : Standing::Unreachable;
    return out;
  }
  const auto *row = rowOf(*answer.Status, configuration);
  if (row) {
    out.Version = numberAt<uint64_t>(*row, "version");
    out.SinceUnixMilliseconds = numberAt<int64_t>(*row, "since_unix_ms");
  }
  classify(out, row);
  return out;
}

/// Returns the first configuration that a node is behind on, waits for or
/// cannot report; else one that it is current on, if any.
Holding worstHolding(const log::Fold &fold, const MemberResponse &answer) {
  Holding worst;
  for (const auto &[name, it] : fold.configurations()) {
    auto holding = holdingOf(fold, answer, name);
    bool isMissing = holding.NodeStanding == Standing::Behind ||
                     holding.NodeStanding == Standing::Waiting ||
                     holding.NodeStanding == Standing::Unreachable;
    if (isMissing) {
      holding.Reason =
          name + (holding.Reason.empty() ? "" : ": ") + holding.Reason;
      return holding;
    }
    if (holding.NodeStanding == Standing::Current ||
        worst.NodeStanding == Standing::NotSelected)
      worst = holding;
  }
  return worst;
}

json::object document(const MemberResponse &answer, const Holding &holding) {
  const auto &self = answer.QueriedMember.Identity;
  json::object out{
      {"node", self.Id},
      {"data_centre", self.DataCentre},
      {"state",
       base::nameOf(fleet::MemberStateNames, answer.QueriedMember.State)},
      {"standing", base::nameOf(StandingNames, holding.NodeStanding)},
      {"reachable", answer.Status.has_value()},
      {"wanted", holding.Wanted},
      {"version", holding.Version},
      {"since_unix_ms", holding.SinceUnixMilliseconds},
      {"reason", holding.Reason},
  };
  if (answer.Status) {
    out["offset"] = numberAt<uint64_t>(*answer.Status, "offset");
    out["fold_hash"] = textAt(*answer.Status, "fold_hash");
  }
  return out;
}

} // namespace

json::object fleetReport(const log::Fold &fold, std::string_view configuration,
                         const std::vector<MemberResponse> &answers) {
  json::array rows;
  size_t reachable = 0;
  size_t selected = 0;
  size_t current = 0;
  for (const auto &it : answers) {
    auto holding = configuration.empty() ? worstHolding(fold, it)
                                         : holdingOf(fold, it, configuration);
    reachable += it.Status ? 1 : 0;
    selected += holding.Wanted > 0 ? 1 : 0;
    current += holding.NodeStanding == Standing::Current ? 1 : 0;
    rows.push_back(document(it, holding));
  }
  return {
      {"configuration", configuration},
      {"nodes", answers.size()},
      {"reachable", reachable},
      {"selected", selected},
      {"current", current},
      {"rows", std::move(rows)},
  };
}

} // namespace radishcross::admin
