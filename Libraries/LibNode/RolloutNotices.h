#pragma once

#include <LibBase/Clock.h>
#include <LibRollout/RolloutTypes.h>

#include <optional>
#include <string>
#include <string_view>

namespace radishcross::node {

/// A notice about a roll-out as it travels between nodes.
struct RolloutNotice {
  /// Order: an order. State: a state with its order. Halt: stop the new version
  /// of the order. Counts: what one node has counted; for the decider only.
  enum class Kind : uint8_t { Order, State, Halt, Counts };

  Kind What = Kind::Order;
  rollout::Order Ordered; ///< Halt, Counts: only Service and At are set.
  rollout::StoredProgress Progress; ///< State.
  base::Duration Age{};             ///< State: since it was confirmed.
  rollout::NodeCounts Counts;       ///< Counts; the node is the sender.
};

/// Routes in one report; the rest is added up under an empty name.
constexpr size_t MaximumReportedRoutes = 12;

/// Returns the topic of a notice: its kind and its service.
std::string rolloutTopic(const RolloutNotice &notice);

/// Returns the text of a notice: numbers and names separated by spaces. Routes
/// are sent as hashes. Durations are sent in milliseconds.
std::string rolloutText(const RolloutNotice &notice);

/// Returns nothing if it is no notice about a roll-out or malformed.
std::optional<RolloutNotice> parseRolloutNotice(std::string_view topic,
                                                std::string_view text);

} // namespace radishcross::node
