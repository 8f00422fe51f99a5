#pragma once

#include <LibCalls/CallTypes.h>

#include <string>

namespace radishcross::calls {

/// Configurable names of the header fields used with callers and targets.
struct CallHeaders {
  /// From callers: the id of a request, passed on unchanged.
  std::string RequestId = "X-Request-Id";
  /// From callers and to targets: milliseconds left until the deadline.
  std::string Deadline = std::string(DeadlineHeader);
  /// To targets: the id of the target that the request is addressed to.
  std::string ExpectedTarget = "X-Radishcross-Expected-Target";
  /// To targets: the service of the VM at which the request originated.
  std::string CallerService = "X-Radishcross-Caller";
  /// On answers of targets: the request was not run.
  std::string NotRun = "X-Radishcross-Not-Run";
  /// On answers of targets: the requests per second, a decimal number, that the
  /// target accepts from all callers together.
  std::string RateLimit = "X-Radishcross-Rate-Limit";
  /// On answers of targets: "1" from a target that is leaving.
  std::string Leaving = "X-Radishcross-Leaving";
  /// From callers: the key of a tenant. Removed from every request.
  std::string Key = "X-Radishcross-Key";
  /// To targets: the name of the tenant that asks.
  std::string Tenant = "X-Radishcross-Tenant";
  /// On answers of targets: "running,waiting,slots[,pace]", see TargetLoad.
  std::string Load = "X-Radishcross-Load";

  bool operator==(const CallHeaders &) const = default;
};

} // namespace radishcross::calls
