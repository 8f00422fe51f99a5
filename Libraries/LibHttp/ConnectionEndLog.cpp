#include <LibHttp/ConnectionEndLog.h>

#include <LibBase/Logger.h>
#include <LibHttp/CallLog.h>

#include <string>
#include <utility>

namespace radishcross::http {

EndLogging endLoggingOf(EndReason reason) {
  switch (reason) {
  case EndReason::ClientClosed:
  case EndReason::IdleClosed:
  case EndReason::AnswerClosed:
  case EndReason::StoppedIdle:
    return EndLogging::None;
  case EndReason::ClientLeft:
  case EndReason::ClientCut:
  case EndReason::AnswerNotWritten:
  case EndReason::ReadTimedOut:
  case EndReason::InputRefused:
  case EndReason::OverLimit:
    return EndLogging::Bounded;
  case EndReason::IdleUnread:
  case EndReason::AnswerUnread:
  case EndReason::RequestDropped:
  case EndReason::Stopped:
  case EndReason::HandlerClosed:
    break;
  }
  return EndLogging::Always;
}

bool ConnectionEndLog::shouldLog(EndReason reason, Row &row, Time now) const {
  EndLogging logging = endLoggingOf(reason);
  if (logging != EndLogging::Bounded)
    return logging == EndLogging::Always;
  if (row.LastLine && now - *row.LastLine < EndLogInterval) {
    ++row.Suppressed;
    return false;
  }
  row.LastLine = now;
  return true;
}

void ConnectionEndLog::ended(const ConnectionEnd &end, std::string_view side,
                             base::Metrics *counters, Time now) {
  std::string name(base::nameOf(EndReasonNames, end.Reason));
  if (counters)
    counters->counter("connections_ended_total{reason=\"" + name + "\"}") += 1;
  Row &row = Rows[static_cast<size_t>(end.Reason)];
  if (!shouldLog(end.Reason, row, now))
    return;
  auto level = endLoggingOf(end.Reason) == EndLogging::Always
                   ? base::LogLevel::Warning
                   : base::LogLevel::Info;
  base::log(level, "connection ended",
            {{"reason", std::move(name)},
             {"side", std::string(side)},
             {"read", std::to_string(end.Read)},
             {"answered", std::to_string(end.Answered)},
             {"dropped", std::to_string(end.Read - end.Answered)},
             {"unread_bytes", std::to_string(end.UnreadBytes)},
             {"reading", end.Reading ? "yes" : "no"},
             {"age_ms", formatMilliseconds(end.Age)},
             {"draining", end.Draining ? "yes" : "no"},
             {"untold", std::to_string(std::exchange(row.Suppressed, 0))}});
}

} // namespace radishcross::http
