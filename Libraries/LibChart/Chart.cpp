#include <LibChart/Chart.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace radishcross::chart {

namespace {

using base::LastReason;
using base::ResultCode;
using boost::json::object;
using boost::json::value;

std::string quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

/// Fails when \p node has a key that is not in \p known.
bool hasOnlyKeys(const object &node,
                 std::initializer_list<std::string_view> known,
                 const std::string &location, LastReason &reason) {
  for (const auto &it : node) {
    const std::string_view key = it.key();
    if (std::find(known.begin(), known.end(), key) != known.end())
      continue;
    reason.fail(ResultCode::ChartMalformed,
                location + " has the unknown key " + quoted(key));
    return false;
  }
  return true;
}

const object *objectAt(const object &node, std::string_view key,
                       const std::string &location, LastReason &reason) {
  const auto *found = node.if_contains(key);
  if (found && found->is_object())
    return &found->get_object();
  reason.fail(ResultCode::ChartMalformed,
              location + " needs an object " + quoted(key));
  return nullptr;
}

const boost::json::string *stringAt(const object &node, std::string_view key,
                                    const std::string &location,
                                    LastReason &reason) {
  const auto *found = node.if_contains(key);
  if (found && found->is_string())
    return &found->get_string();
  reason.fail(ResultCode::ChartMalformed,
              location + " needs a string " + quoted(key));
  return nullptr;
}

/// Returns the indexes of the actions that a transition's "do" lists.
std::optional<std::vector<size_t>>
readActions(const object &node, const std::vector<std::string> &bound,
            const std::string &location, LastReason &reason) {
  std::vector<size_t> out;
  const auto *list = node.if_contains("do");
  if (!list)
    return out;
  if (!list->is_array())
    return reason.fail(ResultCode::ChartMalformed,
                       location + " needs \"do\" to be an array");
  for (const auto &it : list->get_array()) {
    if (!it.is_string())
      return reason.fail(ResultCode::ChartMalformed,
                         location + " has an action that is not a string");
    const std::string_view name = it.get_string();
    const auto found = std::find(bound.begin(), bound.end(), name);
    if (found == bound.end())
      return reason.fail(ResultCode::ChartUnboundAction,
                         location + " names the unbound action " +
                             quoted(name));
    out.push_back(static_cast<size_t>(found - bound.begin()));
  }
  return out;
}

std::optional<Chart::Transition>
readTransition(const value &node, const std::vector<std::string> &states,
               const std::vector<std::string> &bound,
               const std::string &location, LastReason &reason) {
  if (!node.is_object())
    return reason.fail(ResultCode::ChartMalformed,
                       location + " is not an object");
  const auto &fields = node.get_object();
  if (!hasOnlyKeys(fields, {"to", "do"}, location, reason))
    return std::nullopt;
  const auto *to = stringAt(fields, "to", location, reason);
  if (!to)
    return std::nullopt;
  const std::string_view target = *to;
  const auto it = std::find(states.begin(), states.end(), target);
  if (it == states.end())
    return reason.fail(ResultCode::ChartUnknownState,
                       location + " leads to the unknown state " +
                           quoted(target));
  auto actions = readActions(fields, bound, location, reason);
  if (!actions)
    return std::nullopt;
  return Chart::Transition{static_cast<size_t>(it - states.begin()),
                           std::move(*actions)};
}

} // namespace

std::optional<Chart> Chart::create(std::string_view text,
                                   const std::vector<std::string> &boundActions,
                                   LastReason &reason) {
  boost::json::error_code ec;
  const auto document = boost::json::parse(text, ec);
  if (ec || !document.is_object())
    return reason.fail(ResultCode::ChartMalformed,
                       "the chart is not a JSON object");
  const auto &top = document.get_object();
  if (!hasOnlyKeys(top, {"initial", "states"}, "the chart", reason))
    return std::nullopt;
  const auto *states = objectAt(top, "states", "the chart", reason);
  if (!states)
    return std::nullopt;
  const auto *initial = stringAt(top, "initial", "the chart", reason);
  if (!initial)
    return std::nullopt;

  Chart out;
  for (const auto &it : *states)
    out.States.emplace_back(it.key());
  const auto first = out.findState(std::string_view(*initial));
  if (!first)
    return reason.fail(ResultCode::ChartUnknownState,
                       "the initial state " +
                           quoted(std::string_view(*initial)) +
                           " does not exist");
  out.Initial = *first;
  for (const auto &it : *states)
    if (!out.readState(it.key(), it.value(), boundActions, reason))
      return std::nullopt;
  if (!out.areAllStatesReachable(reason))
    return std::nullopt;
  return out;
}

bool Chart::readState(std::string_view name, const value &node,
                      const std::vector<std::string> &boundActions,
                      LastReason &reason) {
  const std::string location = "state " + quoted(name);
  if (!node.is_object()) {
    reason.fail(ResultCode::ChartMalformed, location + " is not an object");
    return false;
  }
  const auto &fields = node.get_object();
  auto &row = Transitions.emplace_back();
  if (!hasOnlyKeys(fields, {"on"}, location, reason))
    return false;
  if (!fields.contains("on"))
    return true; // A final state handles no events.
  const auto *events = objectAt(fields, "on", location, reason);
  if (!events)
    return false;
  for (const auto &it : *events) {
    const std::string_view event = it.key();
    auto read = readTransition(it.value(), States, boundActions,
                               location + " on " + quoted(event), reason);
    if (!read)
      return false;
    row.emplace(event, std::move(*read));
  }
  return true;
}

bool Chart::areAllStatesReachable(LastReason &reason) const {
  std::vector<bool> seen(States.size(), false);
  std::vector<size_t> pending{Initial};
  seen[Initial] = true;
  while (!pending.empty()) {
    const size_t state = pending.back();
    pending.pop_back();
    for (const auto &it : Transitions[state]) {
      const size_t to = it.second.To;
      if (seen[to])
        continue;
      seen[to] = true;
      pending.push_back(to);
    }
  }
  const auto missing = std::find(seen.begin(), seen.end(), false);
  if (missing == seen.end())
    return true;
  const auto &name = States[static_cast<size_t>(missing - seen.begin())];
  reason.fail(ResultCode::ChartUnreachableState,
              "state " + quoted(name) + " cannot be reached");
  return false;
}

std::optional<size_t> Chart::findState(std::string_view name) const {
  const auto it = std::find(States.begin(), States.end(), name);
  if (it == States.end())
    return std::nullopt;
  return static_cast<size_t>(it - States.begin());
}

const Chart::Transition *Chart::find(size_t state,
                                     std::string_view event) const {
  const auto &row = Transitions[state];
  const auto it = row.find(event);
  return it == row.end() ? nullptr : &it->second;
}

} // namespace radishcross::chart
