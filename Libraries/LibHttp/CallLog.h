#pragma once

#include <LibBase/Clock.h>
#include <LibBase/ResultCode.h>
#include <LibCalls/CallBroker.h>
#include <LibCalls/CallTypes.h>
#include <LibConfig/Snapshot.h>

#include <cstdint>
#include <string_view>

namespace radishcross::http {

/// One of so many answered calls has a line, chosen by its id's hash.
constexpr uint64_t AnsweredCallsForOneLine = 256;

/// What the log says of a call that has ended.
struct EndedCall {
  std::string_view RequestId; ///< As the client gave it, else the call's own.
  const calls::CallRequest *Request = nullptr;
  const config::Snapshot *Held = nullptr; ///< Null: none yet.
  std::string_view TargetId; ///< Of the last attempt; may be empty.
  uint32_t Attempts = 0;
  calls::CallOutcome Outcome = calls::CallOutcome::NotRun;
  base::ResultCode Code = base::ResultCode::Ok;
  unsigned Status = 0; ///< Of the target's answer, where there is one.
  base::Duration Took{};
};

/// Writes the line "call ended": each call that was refused or failed, or whose
/// target answered with a status from 500 on, and a sample of the others.
void logEndedCall(const EndedCall &call);

} // namespace radishcross::http
