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

/// One of so many answered calls has a line, chosen by its id's hash, so that
/// every node keeps the lines of the same calls.
constexpr uint64_t AnsweredCallsPerSample = 256;

/// Attempts of one call that have a line; the last one takes the place of
/// those above.
constexpr size_t MaxAttemptLines = 4;

/// Who told how a call or an attempt ended.
enum class OutcomeSource : uint8_t {
  OwnNode,    ///< The node that writes the line decided it.
  TargetNode, ///< The gate at the target's node, or the owner of a key.
  Target,
  Connection, ///< It could not be made, or it broke.
  Clock,      ///< Nothing came in time.
  Client,     ///< It went away.
};

constexpr base::EnumName<OutcomeSource> OutcomeSourceNames[] = {
    {OutcomeSource::OwnNode, "own-node"},
    {OutcomeSource::TargetNode, "target-node"},
    {OutcomeSource::Target, "target"},
    {OutcomeSource::Connection, "connection"},
    {OutcomeSource::Clock, "clock"},
    {OutcomeSource::Client, "client"},
};

/// Returns who told the end of an attempt; \p isReportedByNode: through an
/// answer of another node, and not by this node's own exchange with the target.
OutcomeSource outcomeSourceOf(const calls::AttemptResult &result,
                              bool isReportedByNode);

/// One attempt of a call that has ended.
struct EndedAttempt {
  uint32_t Number = 0; ///< From 1.
  std::string Node;    ///< That it was sent to.
  std::string TargetId;
  base::Duration Remaining{}; ///< Deadline left when it was sent.
  base::Duration Timeout{};
  bool IsForward = false; ///< To the owner of the call's idempotency key.
  calls::ChoiceBasis Basis;
  calls::AttemptResult Result;
  base::Duration Took{};
  unsigned Status = 0; ///< Of the target's answer, where there is one.
};

/// What the log says of a call that has ended.
struct EndedCall {
  std::string_view RequestId; ///< As the client gave it, else the call's own.
  const calls::CallRequest *Request = nullptr;
  const config::Snapshot *Held = nullptr; ///< Null: none yet.
  const config::Route *Matched = nullptr; ///< Of Held; null: none was found.
  std::string_view ServiceName;           ///< Empty: none was found.
  config::Rank CallRank = config::Rank::Background;
  std::string_view TargetId; ///< Of the last attempt; may be empty.
  const std::vector<EndedAttempt> *EndedAttempts =
      nullptr; ///< See MaxAttemptLines.
  uint32_t Attempts = 0;
  calls::CallOutcome Outcome = calls::CallOutcome::NotRun;
  base::ResultCode Code = base::ResultCode::Ok;
  calls::StopReason Stop = calls::StopReason::None;
  int64_t RetriesLeft = 0;
  base::Duration RetryAfter{};
  unsigned Status = 0; ///< Of the target's answer, where there is one.
  base::Duration Took{};
};

/// Returns the id by which the client knows the request, else the call's own;
/// a view into one of both.
std::string_view requestIdOf(const Request &request,
                             const calls::CallHeaders &names,
                             std::string_view callId);

/// Returns an id as printable ASCII of bounded length, as a client may send
/// any bytes.
std::string printableId(std::string_view id);

/// Tells whether the lines of a call that went well are written.
bool isSampled(std::string_view requestId);

/// Tells whether the status of a target's answer says that it failed.
bool isServerError(unsigned status);

/// Returns a time in whole milliseconds.
std::string formatMilliseconds(base::Duration time);

/// Writes the lines "call attempt ended" and "call ended": of each call that
/// was refused or failed, or whose target answered with a status from 500 on,
/// and of a sample of the others.
void logEndedCall(const EndedCall &call);

} // namespace radishcross::http
