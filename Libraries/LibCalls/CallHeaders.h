#pragma once

#include <LibCalls/CallTypes.h>

#include <string>

namespace radishcross::calls {

/// Names of the header fields that callers and targets know.
struct CallHeaders {
  /// From callers: the id of a request, passed on as it is.
  std::string RequestId = "X-Request-Id";
  /// From callers and towards targets: milliseconds left.
  std::string Deadline = std::string(DeadlineHeader);
  /// Towards targets: the id of the one that is meant.
  std::string ExpectedTarget = "X-Radishcross-Expected-Target";
  /// Towards targets: the service of the VM at which the request began.
  std::string CallerService = "X-Radishcross-Caller";
  /// On targets' answers: the request was not run.
  std::string NotRun = "X-Radishcross-Not-Run";

  bool operator==(const CallHeaders &) const = default;
};

} // namespace radishcross::calls
