#pragma once

#include <LibFleet/Member.h>

#include <cstdint>
#include <string>
#include <vector>

namespace radishcross::tenants {

/// What a node has and wants of one tenant.
struct AllotmentNeed {
  std::string Tenant;
  uint64_t Used = 0;  ///< Tokens used in this session.
  uint32_t Stock = 0; ///< Tokens held.
  uint32_t Want = 0;  ///< Tokens wanted beyond Stock.
};

/// Tokens of one tenant that a node may use from now on.
struct AllotmentGrant {
  std::string Tenant;
  uint32_t Kept = 0;    ///< Of the Stock that it reported.
  uint32_t Granted = 0; ///< Besides those.
};

/// From a node to the keeper of a group, or the answer to that.
struct AllotmentMessage {
  bool IsAnswer = false;
  uint32_t Group = 0;
  uint64_t Session = 0;  ///< Increases whenever a node changes its keeper.
  uint64_t Sequence = 0; ///< Of the ask, within its session.
  /// The keeper's time in an answer, and its echo in the next ask: what an ask
  /// lends lapses a lease after the echoed time, however late the ask arrives.
  uint64_t Stamp = 0;
  /// An ask lends one part in this many of the allotments; 0: lends nothing. An
  /// answer tells how many nodes ask for tokens of one of its tenants at most;
  /// 0: none, or an earlier version, which doesn't tell.
  uint32_t ShareOf = 0;
  std::vector<AllotmentNeed> Needs;
  std::vector<AllotmentGrant> Grants;
};

/// A message to be sent to a node.
struct AllotmentSend {
  fleet::NodeId To;
  AllotmentMessage Message;
};

} // namespace radishcross::tenants
