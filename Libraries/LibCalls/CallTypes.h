#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/ResultCode.h>
#include <LibConfig/Rank.h>

#include <cstdint>
#include <string>

namespace radishcross::calls {

/// What a caller is told of a call that gave no answer of a target.
enum class CallOutcome : uint8_t {
  Answered, ///< The target's whole answer is passed on.
  NotRun,   ///< No byte of the request went to a target.
  Unknown,  ///< The request was sent; it may have run.
};

constexpr base::EnumName<CallOutcome> CallOutcomeNames[] = {
    {CallOutcome::Answered, "answered"},
    {CallOutcome::NotRun, "not-run"},
    {CallOutcome::Unknown, "unknown"},
};

/// A caller that is told to come back has this part of what is left of its
/// deadline for it; a later time would be of no use to it.
constexpr int64_t RetryAfterDivisor = 3;

/// Header names between nodes and towards callers. Nodes strip the first group
/// from requests of callers at the edge, except where the caller's node and
/// the parent call's token prove the parent.
constexpr std::string_view CallIdHeader = "X-Radishcross-Call";
constexpr std::string_view RankHeader = "X-Radishcross-Rank";
constexpr std::string_view DeadlineHeader = "X-Radishcross-Deadline-Ms";
constexpr std::string_view HopsHeader = "X-Radishcross-Hops";
constexpr std::string_view ServiceHeader = "X-Radishcross-Service";
constexpr std::string_view TargetHeader = "X-Radishcross-Target";
constexpr std::string_view ProofHeader = "X-Radishcross-Proof";
constexpr std::string_view AttemptHeader = "X-Radishcross-Attempt";
/// Between nodes, in place of all the above: their values in one line.
constexpr std::string_view MeshHeader = "X-Radishcross-Mesh";
/// On answers: the numbered code, the outcome and the node's pressure.
constexpr std::string_view CodeHeader = "X-Radishcross-Code";
constexpr std::string_view OutcomeHeader = "X-Radishcross-Outcome";
constexpr std::string_view PressureHeader = "X-Radishcross-Pressure";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/// The deepest chain of calls.
constexpr uint32_t MaximumHops = 8;

} // namespace radishcross::calls
