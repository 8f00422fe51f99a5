#pragma once

#include <LibConfig/Snapshot.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::log {

/// One event observed in a fleet.
struct FleetEvent {
  enum class Kind : uint8_t {
    Accepted, ///< The fold accepted Versions[0], attached to Nodes.
    Holding,  ///< Nodes[0] serves and holds exactly Versions.
    Stopped,  ///< Nodes[0] stopped serving or is unreachable.
  };
  Kind What = Kind::Holding;
  int64_t AtMicroseconds = 0;
  std::vector<std::string> Nodes;
  std::vector<config::ConfigurationVersion> Versions;
};

/// An invariant that a list of events violates.
struct Violation {
  std::string_view Check; ///< Name of the check.
  int64_t AtMicroseconds = 0;
  std::string Text; ///< One line: node, version and violated invariant.
};

using FleetEvents = std::span<const FleetEvent>;

/// Finds the first event at which a node holds a lower version of a
/// configuration than before, or none any more. The invariant also holds across
/// a stop.
std::optional<Violation> checkNeverBack(FleetEvents events);

/// Finds the first event at which a node holds a route without its service.
std::optional<Violation> checkNoDanglingReference(FleetEvents events);

/// Finds the first event at which a node holds a version whose content differs
/// from the content accepted under its number.
std::optional<Violation> checkNoPartialVersion(FleetEvents events);

/// Finds the first accepted version that a selected, serving node does not hold
/// (or a higher one) within \p bound microseconds, or no longer holds at some
/// later event. A version whose time limit is after the end of the list is no
/// violation.
std::optional<Violation> checkAcceptedInForce(FleetEvents events,
                                              int64_t bound);

/// Limit on the time to convergence, in microseconds.
constexpr int64_t ConvergenceBound = 15'000'000;

/// Runs all checks with ConvergenceBound and returns the violations.
std::vector<Violation> checkInvariants(FleetEvents events);

} // namespace radishcross::log
