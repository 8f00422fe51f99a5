#pragma once

#include <LibBase/Address.h>
#include <LibFleet/Member.h>

namespace radishcross::calls {

/// A target that a caller's node may choose.
struct TargetCandidate {
  fleet::NodeId Node;
  std::string DataCentre;
  base::Address Mesh; ///< Where its node takes calls of other nodes.
  fleet::TargetRecord Target;
};

} // namespace radishcross::calls
