#include <LibHttp/Session.h>

#include <LibHttp/Responses.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
namespace bh = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr base::Duration OverloadRetry = std::chrono::seconds(1);

/// Returns the answer to a request that could not be read.
Response makeRefusalResponse(ReadEnd end, const base::LastReason &reason) {
  if (end == ReadEnd::TimedOut) {
    Response answer =
        makeErrorResponse(base::ResultCode::BadRequest, calls::CallOutcome::NotRun,
                   "the request did not arrive in time");
    answer.result(bh::status::request_timeout);
    return answer;
  }
  return makeErrorResponse(reason.code(), calls::CallOutcome::NotRun, reason.text());
}

/// Tells whether requests of this method may be handled before earlier ones of
/// their connection are answered.
bool isSafe(bh::verb method) {
  return method == bh::verb::get || method == bh::verb::head ||
         method == bh::verb::options;
}

} // namespace

Session::Session(std::shared_ptr<SessionOwner> owner, tcp::socket socket)
    : Owner(std::move(owner)),
      Link(std::make_shared<Connection>(std::move(socket))), Peer(Link->peer()),
      Changed(Link->socket().get_executor(),
              asio::steady_timer::time_point::max()) {}

asio::awaitable<void> Session::run() {
  bool isReading = true;
  while (isReading)
    isReading = co_await readOne();
  co_await awaitAnswers();
  if (Refusal && !Closing)
    co_await refuse(std::move(*Refusal), RefusalName, RefusalEnd);
  else if (Closing && Link->isOpen())
    co_await Link->closeGently();
  tellEnd();
  Link->close();
  Owner->Sessions.erase(this);
}

/// Returns whether the connection may bring another request.
asio::awaitable<bool> Session::readOne() {
  while (Waiting.size() >= MaximumPipelined && !Closing) {
    watchClient();
    co_await awaitChange();
  }
  // While draining, what comes behind a request in hand counts as unread.
  if (Closing || !Link->isOpen() || (Owner->Draining && !Waiting.empty()))
    co_return false;
  armDeadline();
  if (ReadEnd end = co_await Link->awaitFirstByte();
      end != ReadEnd::Complete || Closing) {
    if (end == ReadEnd::Closed && !Closing) {
      endAs(Waiting.empty() ? EndReason::ClientClosed : EndReason::ClientLeft);
      clientGone();
    }
    co_return false;
  }
  Reading = true;
  armDeadline();
  Request request;
  base::LastReason reason;
  MessageLimits limits{Owner->Limits.HeaderBytes, Owner->Limits.BodyBytes};
  ReadEnd end =
      co_await Link->readRequest(request, limits, Waiting.empty(), reason);
  Reading = false;
  Figures.Read += end == ReadEnd::Complete ? 1 : 0;
  Figures.Reading = end != ReadEnd::Complete;
  if (Closing)
    co_return false;
  if (end == ReadEnd::Closed || end == ReadEnd::Cut) {
    endAs(Waiting.empty() ? EndReason::ClientCut : EndReason::ClientLeft);
    clientGone();
    co_return false;
  }
  if (end != ReadEnd::Complete) {
    RefusalName = end == ReadEnd::TimedOut ? "request-timeout"
                                           : base::describe(reason.code()).Name;
    RefusalEnd = end == ReadEnd::TimedOut ? EndReason::ReadTimedOut
                                          : EndReason::InputRefused;
    Refusal = makeRefusalResponse(end, reason);
    co_return false;
  }
  bool mayFollow = request.keep_alive();
  ClientCloses = !mayFollow;
  accept(std::move(request));
  armDeadline();
  co_return mayFollow;
}

void Session::accept(Request request) {
  auto pending = std::make_shared<Pending>();
  pending->IsHead = request.method() == bh::verb::head;
  pending->KeepAlive = request.keep_alive();
  pending->IsSafe = isSafe(request.method());
  pending->Message = std::move(request);
  Waiting.push_back(std::move(pending));
  startReady();
}

/// Starts what need not wait for the requests before it.
void Session::startReady() {
  for (const PendingPointer &it : Waiting) {
    if (it != Waiting.front() && !it->IsSafe)
      return;
    if (!it->Started) {
      it->Started = true;
      it->Watch = std::make_shared<ClientWatch>();
      asio::co_spawn(
          Link->socket().get_executor(),
          [self = shared_from_this(), it] { return self->handle(it); },
          asio::detached);
    }
    if (!it->IsSafe)
      return;
  }
}

asio::awaitable<void> Session::handle(PendingPointer pending) {
  Response answer = co_await callHandler(pending);
  if (pending->IsHead)
    answer.body().clear();
  pending->Answer = std::move(answer);
  co_await writeAnswers();
}

asio::awaitable<Response> Session::callHandler(PendingPointer pending) {
  auto &watch = pending->Watch;
  IncomingRequest incoming{std::move(pending->Message), Peer,
                           std::shared_ptr<bool>(watch, &watch->Gone), watch};
  std::string failure;
  try {
    Response response = co_await Owner->Handle(std::move(incoming));
    watch->OnGone = nullptr;
    co_return response;
  } catch (const DropConnection &) {
    closeAs(EndReason::HandlerClosed);
    failure = "the connection is dropped";
  } catch (const std::exception &error) {
    failure = error.what();
  }
  watch->OnGone = nullptr;
  co_return makeErrorResponse(base::ResultCode::Internal, calls::CallOutcome::Unknown,
                       failure);
}

/// Writes the answers whose turn has come.
asio::awaitable<void> Session::writeAnswers() {
  if (Writing || Closing)
    co_return;
  Writing = true;
  while (!Waiting.empty() && Waiting.front()->Answer && Link->isOpen()) {
    Response response = std::move(*Waiting.front()->Answer);
    bool leaves = Owner->Draining || Owner->ClosesAfterAnswers;
    bool keep = Waiting.front()->KeepAlive && response.keep_alive() &&
                !(leaves && Waiting.size() == 1);
    response.keep_alive(keep);
    if (keep)
      tellIdleTimeout(response);
    // What arrives from here on is behind an answer that closes.
    Closing = Closing || !keep;
    Link->expireAfter(Owner->Limits.AnswerTimeout);
    bool written = co_await Link->write(response);
    Waiting.pop_front();
    Figures.Answered += written ? 1 : 0;
    if (!written)
      closeAs(EndReason::AnswerNotWritten);
    if (!written || !keep) {
      closeAfterAnswer();
      break;
    }
    startReady();
  }
  Writing = false;
  if (!Link->isOpen())
    clientGone();
  else if (!Closing)
    armDeadline();
  Changed.cancel();
}

/// Lets go of what is behind an answer that ends the connection.
void Session::closeAfterAnswer() {
  Closing = true;
  clientGone();
  error_code ec;
  Link->socket().cancel(ec);
}

/// Tells the client for how long the connection may stay idle.
void Session::tellIdleTimeout(Response &answer) {
  auto whole =
      std::chrono::floor<std::chrono::seconds>(Owner->Limits.IdleTimeout);
  if (!Owner->Limits.TellsIdleTimeout || whole.count() < 1)
    return;
  ToldIdleTimeout = whole;
  answer.set(bh::field::keep_alive, "timeout=" + std::to_string(whole.count()));
}

/// Sets the time that the connection has for what it now waits for.
void Session::armDeadline() {
  if (Writing)
    return;
  if (Reading)
    Link->expireAfter(Owner->Limits.RequestTimeout);
  else if (Waiting.empty())
    Link->expireAfter(
        Owner->Draining ? Owner->Limits.DrainLinger
                        : std::max(Owner->Limits.IdleTimeout, ToldIdleTimeout));
  else
    Link->neverExpire();
}

asio::awaitable<void> Session::awaitChange() {
  error_code ec;
  co_await Changed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// Waits until all that was read is answered, or the connection is over.
asio::awaitable<void> Session::awaitAnswers() {
  while (Link->isOpen() && (Writing || (!Closing && !Waiting.empty()))) {
    watchClient();
    co_await awaitChange();
  }
}

asio::awaitable<void> Session::refuse(Response response,
                                      std::string_view reason,
                                      EndReason endReason) {
  if (base::Metrics *counters = Owner->Limits.Counters)
    counters->counter("bad_requests_total{reason=\"" + std::string(reason) +
                      "\"}") += 1;
  response.keep_alive(false);
  Link->expireAfter(Owner->Limits.AnswerTimeout);
  bool written = co_await Link->write(response);
  endAs(written ? endReason : EndReason::AnswerNotWritten);
  if (written)
    co_await Link->closeGently();
}

asio::awaitable<void> Session::runOverLimit() {
  Reading = true;
  co_await refuse(makeErrorResponse(base::ResultCode::Overloaded,
                             calls::CallOutcome::NotRun,
                             "there are too many connections", OverloadRetry),
                  "too-many-connections", EndReason::OverLimit);
  tellEnd();
  Link->close();
  Owner->Sessions.erase(this);
}

/// Watches for the client's going away while nothing is read.
void Session::watchClient() {
  if (WatchPending || Closing)
    return;
  WatchPending = true;
  Link->socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](error_code ec) { self->clientReadable(ec); });
}

void Session::clientReadable(error_code ec) {
  WatchPending = false;
  if (ec || !Link->isOpen() || !Link->atEndOfStream())
    return;
  if (!Closing && !Waiting.empty())
    endAs(EndReason::ClientLeft);
  clientGone();
}

/// Tells all handlers that nobody awaits their answers any more; what has not
/// been started is dropped.
void Session::clientGone() {
  std::erase_if(Waiting, [](const auto &it) { return !it->Started; });
  auto started = Waiting;
  for (const PendingPointer &it : started)
    it->Watch->clientGone();
}

void Session::drain() {
  if (idle())
    Link->expireAfter(Owner->Limits.DrainLinger);
}

void Session::stop() {
  bool isIdle = idle() && !Refusal && Link->unreadBytes() == 0;
  Figures.Reading = Figures.Reading || Reading;
  // What was written whole before is not cut.
  if (!Closing || Writing)
    endAs(isIdle ? EndReason::StoppedIdle : EndReason::Stopped);
  // The loop may not run again.
  tellEnd();
  Link->close();
}

/// Notes why the connection ends, unless that is known already.
void Session::endAs(EndReason reason) {
  if (!Ended)
    Ended = reason;
}

void Session::closeAs(EndReason reason) {
  endAs(reason);
  Figures.UnreadBytes = Link->unreadBytes();
  Link->close();
}

/// Tells once how the connection ended.
void Session::tellEnd() {
  if (std::exchange(EndTold, true))
    return;
  Figures.UnreadBytes = std::max(Figures.UnreadBytes, Link->unreadBytes());
  auto now = std::chrono::steady_clock::now();
  Figures.Draining = Owner->Draining || Owner->ClosesAfterAnswers;
  Figures.Age = std::chrono::duration_cast<base::Duration>(now - Since);
  Figures.Reason = reasonOf(Figures);
  Owner->Ends.ended(Figures, Owner->Limits.Side, Owner->Limits.Counters, now);
}

EndReason Session::reasonOf(const ConnectionEnd &end) const {
  if (Ended)
    return *Ended;
  bool hasUnread = end.UnreadBytes > 0 || end.Reading;
  if (!Closing)
    return hasUnread ? EndReason::IdleUnread : EndReason::IdleClosed;
  if (end.Read > end.Answered)
    return EndReason::RequestDropped;
  // What comes behind a client's own request to close is nobody's.
  return hasUnread && !ClientCloses ? EndReason::AnswerUnread
                                    : EndReason::AnswerClosed;
}

} // namespace radishcross::http
