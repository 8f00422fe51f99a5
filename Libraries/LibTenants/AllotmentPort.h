#pragma once

#include <LibBase/Clock.h>

#include <string_view>

namespace radishcross::tenants {

/// Whether a request is within its tenant's allotment.
struct AllotmentVerdict {
  bool IsGranted = true;
  base::Duration RetryAfter{}; ///< Until a token is expected, if refused.
};

/// The allotments of tenants, as one node asks for them.
class AllotmentPort {
public:
  virtual ~AllotmentPort() = default;

  /// Takes one token of the tenant's allotment for a request.
  virtual AllotmentVerdict take(std::string_view tenant,
                                base::TimePoint now) = 0;

  /// Gives back the token of a request that was surely not run.
  virtual void giveBack(std::string_view tenant, base::TimePoint now) = 0;
};

} // namespace radishcross::tenants
