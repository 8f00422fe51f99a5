#pragma once

#include <LibBase/Clock.h>

#include <string_view>

namespace radishcross::tenants {

/// Whether a request is within its tenant's allotment.
struct AllotmentVerdict {
  bool IsGranted = true;
  base::Duration RetryAfter{}; ///< Until a token is expected, if refused.
  /// Refused, but tokens have been asked for: retake() may succeed within
  /// AskTime.
  bool IsAsking = false;
};

/// The allotments of tenants, as one node asks for them.
class AllotmentPort {
public:
  /// Longest time that a request waits for tokens that are being asked for, and
  /// the interval at which it looks for them.
  static constexpr base::Duration AskTime = std::chrono::milliseconds(150);
  static constexpr base::Duration LookInterval = std::chrono::milliseconds(4);

  virtual ~AllotmentPort() = default;

  /// Takes one token of the tenant's allotment for a request.
  virtual AllotmentVerdict take(std::string_view tenant,
                                base::TimePoint now) = 0;

  /// Takes a token for a request that take() has refused while it was asking.
  virtual AllotmentVerdict retake(std::string_view tenant,
                                  base::TimePoint now) = 0;

  /// Gives back the token of a request that was surely not run.
  virtual void giveBack(std::string_view tenant, base::TimePoint now) = 0;
};

} // namespace radishcross::tenants
