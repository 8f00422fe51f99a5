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

/// One thing that was seen to happen in a fleet.
struct FleetEvent {
  enum class Kind : uint8_t {
    Accepted, ///< The fold accepted Versions[0]; it selects Nodes.
    Holding,  ///< Nodes[0] serves with exactly Versions.
    Stopped,  ///< Nodes[0] no longer serves, or cannot be reached.
  };
  Kind What = Kind::Holding;
  int64_t AtMicroseconds = 0;
  std::vector<std::string> Nodes;
  std::vector<config::ConfigurationVersion> Versions;
};

/// A promise that an event list breaks.
struct Violation {
  std::string_view Check; ///< Name of the check.
  int64_t AtMicroseconds = 0;
  std::string Text; ///< One line: who, what, and what was promised.
};

using FleetEvents = std::span<const FleetEvent>;

/// Finds the first event by which a node holds a lower version of a
/// configuration than one that it has held, or none any more. A stop between
/// the two is no excuse.
std::optional<Violation> checkNeverBack(FleetEvents events);

/// Finds the first event by which a node holds a route without its service.
std::optional<Violation> checkNoDanglingReference(FleetEvents events);

/// Finds the first event by which a node holds a version with other content
/// than was accepted under its number.
std::optional<Violation> checkNoPartialVersion(FleetEvents events);

/// Finds the first accepted version that a selected, serving node does not hold
/// (or a higher one) within \p bound microseconds, or no longer holds at any
/// later event. What the list ends too early to tell is not judged.
std::optional<Violation> checkAcceptedInForce(FleetEvents events,
                                              int64_t bound);

/// The bound on convergence, in microseconds.
constexpr int64_t ConvergenceBound = 15'000'000;

/// Runs all checks with the bound above and returns what they found.
std::vector<Violation> checkInvariants(FleetEvents events);

} // namespace radishcross::log
