#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/ResultCode.h>
#include <LibCalls/CallBroker.h>
#include <LibCalls/CallHeaders.h>
#include <LibCalls/CallTypes.h>
#include <LibConfig/Snapshot.h>
#include <LibHttp/Message.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::http {

/// One in this many successful calls is logged. The sample is chosen by a hash
/// of the request id, so that all nodes log the same calls.
constexpr uint64_t AnsweredCallsPerSample = 256;

/// Maximum number of attempts logged for one call. If there are more, the last
/// attempt overwrites the last entry.
constexpr size_t MaxAttemptLines = 4;

/// Who determined the outcome of a call or an attempt.
enum class OutcomeSource : uint8_t {
  OwnNode,    ///< Decided by the node that writes the log line.
  TargetNode, ///< The gate of the target's node, or the owner of an idempotency
              ///< key.
  Target,
  Connection, ///< The connection could not be set up, or it broke.
  Clock,      ///< The deadline passed.
  Client,     ///< The client disconnected.
};

constexpr base::EnumName<OutcomeSource> OutcomeSourceNames[] = {
    {OutcomeSource::OwnNode, "own-node"},
    {OutcomeSource::TargetNode, "target-node"},
    {OutcomeSource::Target, "target"},
    {OutcomeSource::Connection, "connection"},
    {OutcomeSource::Clock, "clock"},
    {OutcomeSource::Client, "client"},
};

/// Returns who determined how an attempt ended. \p isReportedByNode: the result
/// came in another node's response, not from this node's own exchange with the
/// target.
OutcomeSource outcomeSourceOf(const calls::AttemptResult &result,
                              bool isReportedByNode);

/// A finished attempt of a call.
struct EndedAttempt {
  uint32_t Number = 0; ///< From 1.
  std::string Node;    ///< The node that the attempt was sent to.
  std::string TargetId;
  base::Duration Remaining{}; ///< Remaining deadline when it was sent.
  base::Duration Timeout{};
  bool IsForward = false; ///< Sent to the owner of the call's idempotency key.
  calls::HedgeCause Hedge = calls::HedgeCause::None;
  calls::ChoiceBasis Basis;
  calls::AttemptResult Result;
  base::Duration Took{};
  unsigned Status = 0; ///< Status of the target's response, or 0.
};

/// The data of the log lines of a finished call.
struct EndedCall {
  std::string_view RequestId; ///< As sent by the client, else the call id.
  const calls::CallRequest *Request = nullptr;
  const config::Snapshot *Held = nullptr; ///< Null: no configuration yet.
  const config::Route *Matched = nullptr; ///< Of Held; null: none matched.
  std::string_view ServiceName;           ///< Empty if no service was found.
  config::Rank CallRank = config::Rank::Background;
  std::string_view TargetId; ///< Target of the last attempt; may be empty.
  /// At most MaxAttemptLines.
  const std::vector<EndedAttempt> *EndedAttempts = nullptr;
  uint32_t Attempts = 0;
  calls::CallOutcome Outcome = calls::CallOutcome::NotRun;
  base::ResultCode Code = base::ResultCode::Ok;
  calls::StopReason Stop = calls::StopReason::None;
  int64_t RetriesLeft = 0;
  base::Duration RetryAfter{};
  unsigned Status = 0; ///< Status of the target's response, or 0.
  base::Duration Took{};
};

/// Returns the client's request id, or the call id if the client sent none. The
/// result is a view into one of the arguments.
std::string_view requestIdOf(const Request &request,
                             const calls::CallHeaders &names,
                             std::string_view callId);

/// Returns \p id with non-printable bytes replaced by '?' and truncated to a
/// fixed length, because clients can send arbitrary bytes.
std::string printableId(std::string_view id);

/// Returns whether a successful call is part of the logged sample.
bool isSampled(std::string_view requestId);

/// Returns whether the status of a target's response is a server error (500 or
/// above).
bool isServerError(unsigned status);

/// Formats a duration in whole milliseconds.
std::string formatMilliseconds(base::Duration time);

/// Writes the log lines "call attempt ended" and "call ended" for every call
/// that was refused or failed or got a status of 500 or above, and for a sample
/// of the others.
void logEndedCall(const EndedCall &call);

} // namespace radishcross::http
