#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/ResultCode.h>
#include <LibConfig/Rank.h>

#include <cstdint>
#include <string>

namespace radishcross::calls {

/// Outcome of a call as reported to its caller.
enum class CallOutcome : uint8_t {
  Answered, ///< The target's complete answer is passed on.
  NotRun,   ///< The request was not run by any target.
  Unknown,  ///< The request was sent; it may have run.
};

constexpr base::EnumName<CallOutcome> CallOutcomeNames[] = {
    {CallOutcome::Answered, "answered"},
    {CallOutcome::NotRun, "not-run"},
    {CallOutcome::Unknown, "unknown"},
};

/// The retry-after given to a caller is at most its remaining time divided by
/// this. A later retry could not meet the caller's deadline.
constexpr int64_t RetryAfterDivisor = 3;

/// Header names between nodes and towards callers. At the edge, nodes remove
/// the first group from requests of callers, unless the caller's node and the
/// parent call's token prove the parent.
constexpr std::string_view CallIdHeader = "X-Radishcross-Call";
constexpr std::string_view RankHeader = "X-Radishcross-Rank";
constexpr std::string_view DeadlineHeader = "X-Radishcross-Deadline-Ms";
constexpr std::string_view HopsHeader = "X-Radishcross-Hops";
constexpr std::string_view ServiceHeader = "X-Radishcross-Service";
constexpr std::string_view TargetHeader = "X-Radishcross-Target";
constexpr std::string_view ProofHeader = "X-Radishcross-Proof";
constexpr std::string_view AttemptHeader = "X-Radishcross-Attempt";
/// Between nodes, replaces all headers above: their values in one line.
constexpr std::string_view MeshHeader = "X-Radishcross-Mesh";
/// On answers: the numeric result code, the outcome and the target's pressure.
constexpr std::string_view CodeHeader = "X-Radishcross-Code";
constexpr std::string_view OutcomeHeader = "X-Radishcross-Outcome";
constexpr std::string_view PressureHeader = "X-Radishcross-Pressure";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/// Maximum depth of a chain of calls.
constexpr uint32_t MaximumHops = 8;

} // namespace radishcross::calls
