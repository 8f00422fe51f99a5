#pragma once

#include <span>
#include <string>
#include <string_view>

namespace radishcross::rollout {

/// Returns the node of \p liveNodes that decides the roll-out of \p service
/// (rendezvous hashing), or an empty string if there is none. Nodes that see
/// different members may choose differently; the store's condition then keeps
/// the states in one order.
std::string_view deciderOf(std::string_view service,
                           std::span<const std::string> liveNodes);

} // namespace radishcross::rollout
