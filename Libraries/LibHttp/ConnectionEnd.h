#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace radishcross::http {

/// Why a client's connection ended.
enum class EndReason : uint8_t {
  ClientClosed, ///< By the client, with no request in progress.
  IdleClosed,   ///< By the idle timer, with nothing unread.
  AnswerClosed, ///< After a response with `Connection: close`, with no input
                ///< left.
  StoppedIdle,  ///< Server stopped, with no request in progress and no unread
                ///< input.
  ClientLeft,   ///< The client closed with a request in progress.
  ClientCut,    ///< The client closed in the middle of a request.
  AnswerNotWritten,
  ReadTimedOut, ///< A request did not arrive in time; the client got an error.
  InputRefused, ///< Malformed or too large; the client got an error.
  OverLimit,    ///< Too many connections; the client got an error.
  IdleUnread,   ///< By the idle timer, with unread input.
  AnswerUnread, ///< After a response with `Connection: close`, with unread
                ///< input.
  RequestDropped, ///< After a response with `Connection: close`, with complete
                  ///< requests unanswered.
  Stopped, ///< Server stopped, with a request in progress or unread input.
  HandlerClosed,
};

constexpr size_t EndReasons = 15;

constexpr base::EnumName<EndReason> EndReasonNames[] = {
    {EndReason::ClientClosed, "client-closed"},
    {EndReason::IdleClosed, "idle-closed"},
    {EndReason::AnswerClosed, "answer-closed"},
    {EndReason::StoppedIdle, "stopped-idle"},
    {EndReason::ClientLeft, "client-left"},
    {EndReason::ClientCut, "client-cut"},
    {EndReason::AnswerNotWritten, "answer-not-written"},
    {EndReason::ReadTimedOut, "read-timed-out"},
    {EndReason::InputRefused, "input-refused"},
    {EndReason::OverLimit, "over-limit"},
    {EndReason::IdleUnread, "idle-unread"},
    {EndReason::AnswerUnread, "answer-unread"},
    {EndReason::RequestDropped, "request-dropped"},
    {EndReason::Stopped, "stopped"},
    {EndReason::HandlerClosed, "handler-closed"},
};
static_assert(std::size(EndReasonNames) == EndReasons);

/// Which ends with a given reason are logged.
enum class EndLogging : uint8_t {
  None,    ///< Only counted.
  Bounded, ///< At most one in EndLogInterval, as clients can cause any number.
  Always,  ///< This node may have lost requests.
};

/// Returns which ends with this reason are logged.
EndLogging endLoggingOf(EndReason reason);

/// Statistics of a client's connection that has ended.
struct ConnectionEnd {
  EndReason Reason = EndReason::ClientClosed;
  size_t Read = 0;        ///< Complete requests read.
  size_t Answered = 0;    ///< Responses that the kernel accepted completely.
  size_t UnreadBytes = 0; ///< Discarded, in the buffer or in the kernel.
  bool Reading = false;   ///< A request had arrived partially.
  bool Draining = false;
  base::Duration Age{};
};

} // namespace radishcross::http
