#include <LibHttp/Session.h>

#include <LibHttp/Responses.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace radishcross::http {

namespace asio = boost::asio;

void Session::drain() {
  if (idle())
    Client->expireAfter(Shared->Limits.DrainLinger);
}

std::optional<base::TimePoint> Session::waitingSince() const {
  if (Ends || !Requests.empty() || Closing || Writing || Refusal ||
      !Client->isOpen())
    return std::nullopt;
  return std::max(Client->lastReceivedAt(),
                  std::chrono::time_point_cast<base::Duration>(Since));
}

void Session::makeRoom(bool mayStay) {
  countAsEnding();
  setEndReason(EndReason::OverLimit);
  if (Reading && mayStay)
    Client->stopReading();
  else
    Client->close();
}

void Session::answerUnfinished() {
  // Those that were not started count as unread.
  std::erase_if(Requests, [](const auto &it) { return !it->Started; });
  if (Requests.empty())
    return;
  for (const PendingRequestPointer &it : Requests)
    if (!it->HttpResponse)
      it->HttpResponse =
          makeErrorResponse(base::ResultCode::CallOutcomeUnknown,
                            calls::CallOutcome::Unknown, "the node ends");
  asio::co_spawn(
      Client->socket().get_executor(),
      [self = shared_from_this()] { return self->writeResponses(); },
      asio::detached);
}

void Session::stop() {
  bool isIdle = idle() && !Refusal && Client->unreadBytes() == 0;
  EndRecord.Reading = EndRecord.Reading || Reading;
  // A response that was written completely is not cut off.
  if (!Closing || Writing)
    setEndReason(isIdle ? EndReason::StoppedIdle : EndReason::Stopped);
  // The event loop may not run again.
  reportEnd();
  Client->close();
}

/// Records why the connection ends, unless a reason is already known.
void Session::setEndReason(EndReason reason) {
  if (!Ended)
    Ended = reason;
}

void Session::closeWithReason(EndReason reason) {
  setEndReason(reason);
  EndRecord.UnreadBytes = Client->unreadBytes();
  Client->close();
}

/// Reports the end of the connection, once.
void Session::reportEnd() {
  if (std::exchange(EndReported, true))
    return;
  EndRecord.UnreadBytes =
      std::max(EndRecord.UnreadBytes, Client->unreadBytes());
  auto now = std::chrono::steady_clock::now();
  EndRecord.Draining = Shared->Draining || Shared->ClosesAfterResponses;
  EndRecord.Age = std::chrono::duration_cast<base::Duration>(now - Since);
  EndRecord.Reason = endReasonOf(EndRecord);
  Shared->Ends.ended(EndRecord, Shared->Limits.Side, Shared->Limits.Counters,
                     now);
}

EndReason Session::endReasonOf(const ConnectionEnd &end) const {
  if (Ended)
    return *Ended;
  bool hasUnread = end.UnreadBytes > 0 || end.Reading;
  if (!Closing)
    return hasUnread ? EndReason::IdleUnread : EndReason::IdleClosed;
  if (end.Read > end.Answered)
    return EndReason::RequestDropped;
  // Input after the client's own `Connection: close` is ignored.
  return hasUnread && !ClientCloses ? EndReason::AnswerUnread
                                    : EndReason::AnswerClosed;
}

} // namespace radishcross::http
