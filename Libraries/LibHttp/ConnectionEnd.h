#pragma once

#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace radishcross::http {

/// Why a client's connection ended.
enum class EndReason : uint8_t {
  ClientClosed, ///< By the client, with nothing in hand.
  IdleClosed,   ///< By the idle timer, with nothing unread.
  AnswerClosed, ///< Behind an answer that closes, with nothing left behind it.
  StoppedIdle,  ///< By the stop of the server, with nothing in hand or unread.
  ClientLeft,   ///< The client ended its stream with a request in hand.
  ClientCut,    ///< The client ended its stream within a request.
  AnswerNotWritten,
  ReadTimedOut,   ///< A request did not arrive in time; the client was told.
  InputRefused,   ///< What arrived could not be read; the client was told.
  OverLimit,      ///< There were too many connections; the client was told.
  IdleUnread,     ///< By the idle timer, with bytes unread.
  AnswerUnread,   ///< Behind an answer that closes, with bytes unread.
  RequestDropped, ///< Behind an answer that closes, with whole requests read.
  Stopped, ///< By the stop of the server, with requests or bytes in hand.
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

/// Which ends of one reason have a log line.
enum class EndLogging : uint8_t {
  None,    ///< They are only counted.
  Bounded, ///< One in EndLogInterval; a client can cause any number.
  Always,  ///< Requests may be lost, and this node did it.
};

/// Returns which ends of this reason have a log line.
EndLogging endLoggingOf(EndReason reason);

/// What is known of a client's connection that has ended.
struct ConnectionEnd {
  EndReason Reason = EndReason::ClientClosed;
  size_t Read = 0;        ///< Whole requests.
  size_t Answered = 0;    ///< Of these, whole answers that the kernel took.
  size_t UnreadBytes = 0; ///< Discarded, in the buffer or in the kernel.
  bool Reading = false;   ///< A request had arrived in part.
  bool Draining = false;
  base::Duration Age{};
};

} // namespace radishcross::http
