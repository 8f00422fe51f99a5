#pragma once

#include <LibBase/LastReason.h>

#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishcross::chart {

/// A state chart read from a JSON file:
/// `{"initial": "idle", "states": {"idle": {"on": {"start": {"to": "busy",
/// "do": ["open"]}}}}}`. Shared by all machines that run it.
class Chart {
public:
  struct Transition {
    size_t To = 0;
    std::vector<size_t> Actions; ///< Indexes into the bound actions.
  };

  /// Parses and validates a chart: every state named must exist, every state
  /// must be reachable, and every action must be in \p boundActions. Fails with
  /// an 8xxx code.
  static std::optional<Chart>
  create(std::string_view text, const std::vector<std::string> &boundActions,
         base::LastReason &reason);

  size_t initial() const { return Initial; }
  std::optional<size_t> findState(std::string_view name) const;
  const std::string &nameOfState(size_t state) const { return States[state]; }

  /// Returns the transition of \p state on \p event, or null when the state
  /// ignores the event.
  const Transition *find(size_t state, std::string_view event) const;

private:
  Chart() = default;
  bool readState(std::string_view name, const boost::json::value &node,
                 const std::vector<std::string> &boundActions,
                 base::LastReason &reason);
  bool areAllStatesReachable(base::LastReason &reason) const;

  std::vector<std::string> States;
  std::vector<std::map<std::string, Transition, std::less<>>> Transitions;
  size_t Initial = 0;
};

/// A running instance of a chart. Its actions are member functions of \p Owner,
/// in the order of the bound action names.
template <typename Owner> class Machine {
public:
  using Action = void (Owner::*)();

  Machine(const Chart &chart, std::vector<Action> actions)
      : Definition(&chart), Actions(std::move(actions)),
        State(chart.initial()) {}

  /// Handles one event: changes the state, then runs the actions of the
  /// transition. Returns false when the current state ignores the event.
  bool dispatch(Owner &owner, std::string_view event) {
    const auto *transition = Definition->find(State, event);
    if (!transition)
      return false;
    State = transition->To;
    for (size_t it : transition->Actions)
      (owner.*Actions[it])();
    return true;
  }

  const std::string &stateName() const {
    return Definition->nameOfState(State);
  }

private:
  const Chart *Definition;
  std::vector<Action> Actions;
  size_t State;
};

} // namespace radishcross::chart
