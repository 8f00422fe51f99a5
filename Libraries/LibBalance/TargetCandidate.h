#pragma once

#include <LibBase/Address.h>
#include <LibFleet/Member.h>

namespace radishcross::balance {

/// A target that the load balancer of a caller's node may choose.
struct TargetCandidate {
  fleet::NodeId Node;
  std::string DataCentre;
  base::Address Mesh; ///< Where its node accepts calls of other nodes.
  fleet::TargetRecord Target;
};

} // namespace radishcross::balance
