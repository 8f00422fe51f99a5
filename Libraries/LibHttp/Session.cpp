#include <LibHttp/Session.h>

#include <LibHttp/AnswerRest.h>
#include <LibHttp/Responses.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
namespace bh = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr base::Duration OverloadRetryAfter = std::chrono::seconds(1);

/// Returns the response to a request that could not be read.
Response makeRefusalResponse(ReadStatus end, const base::LastReason &reason) {
  if (end == ReadStatus::TimedOut) {
    Response response = makeErrorResponse(base::ResultCode::BadRequest,
                                          calls::CallOutcome::NotRun,
                                          "the request did not arrive in time");
    response.result(bh::status::request_timeout);
    return response;
  }
  base::Duration retryAfter{};
  if (reason.code() == base::ResultCode::MemoryShort)
    retryAfter = OverloadRetryAfter;
  return makeErrorResponse(reason.code(), calls::CallOutcome::NotRun,
                           reason.text(), retryAfter);
}

/// Returns whether requests with this method may be handled before earlier ones
/// of their connection are answered.
bool isSafe(bh::verb method) {
  return method == bh::verb::get || method == bh::verb::head ||
         method == bh::verb::options;
}

} // namespace

Session::Session(std::shared_ptr<SessionContext> shared, tcp::socket socket)
    : Shared(std::move(shared)),
      Client(std::make_shared<Connection>(std::move(socket))),
      Peer(Client->peer()),
      StateChanged(Client->socket().get_executor(),
                   asio::steady_timer::time_point::max()) {
  Client->setLink(Shared->Limits.Link, Shared->Turns);
  Client->setLedger(Shared->Limits.Memory);
}

void Session::enter(bool ends) {
  Shared->Sessions.insert(this);
  if (Shared->Limits.Budget)
    Shared->Limits.Budget->opened(Shared->Limits.BudgetShare);
  if (ends)
    countAsEnding();
}

void Session::countAsEnding() {
  if (std::exchange(Ends, true))
    return;
  ++Shared->Ending;
  if (Shared->Limits.Budget)
    Shared->Limits.Budget->closed(Shared->Limits.BudgetShare);
}

void Session::leave() {
  Shared->Sessions.erase(this);
  countAsEnding();
  --Shared->Ending;
}

asio::awaitable<void> Session::run() {
  bool isReading = true;
  while (isReading)
    isReading = co_await readOne();
  co_await awaitResponses();
  if (Refusal && !Closing)
    co_await refuse(std::move(*Refusal), RefusalName, RefusalEnd);
  else if (Closing && Client->isOpen())
    co_await Client->lingeringClose();
  reportEnd();
  Client->close();
  leave();
}

/// Reads one request; returns whether the connection may bring another.
asio::awaitable<bool> Session::readOne() {
  while (Requests.size() >= MaximumPipelined && !Closing) {
    watchClient();
    co_await awaitChange();
  }
  if (!Client->isOpen() || leavesInputUnread())
    co_return false;
  armDeadline();
  if (ReadStatus end = co_await Client->awaitFirstByte();
      end != ReadStatus::Complete || Closing) {
    if (end == ReadStatus::Closed && !Closing) {
      setEndReason(Requests.empty() ? EndReason::ClientClosed
                                    : EndReason::ClientLeft);
      clientDisconnected();
    }
    co_return false;
  }
  if (leavesInputUnread())
    co_return false;
  Reading = true;
  armDeadline();
  Request request;
  base::LastReason reason;
  MessageLimits limits{Shared->Limits.HeaderBytes, Shared->Limits.BodyBytes};
  ReadStatus end =
      co_await Client->readRequest(request, limits, Requests.empty(), reason);
  Reading = false;
  EndRecord.Read += end == ReadStatus::Complete ? 1 : 0;
  EndRecord.Reading = end != ReadStatus::Complete;
  if (Closing)
    co_return false;
  if (end == ReadStatus::Closed || end == ReadStatus::Truncated) {
    setEndReason(Requests.empty() ? EndReason::ClientCut
                                  : EndReason::ClientLeft);
    clientDisconnected();
    co_return false;
  }
  if (end != ReadStatus::Complete) {
    RefusalName = end == ReadStatus::TimedOut
                      ? "request-timeout"
                      : base::describe(reason.code()).Name;
    RefusalEnd = end == ReadStatus::TimedOut ? EndReason::ReadTimedOut
                                             : EndReason::InputRefused;
    Refusal = makeRefusalResponse(end, reason);
    co_return false;
  }
  bool mayBringMore = request.keep_alive();
  ClientCloses = !mayBringMore;
  accept(std::move(request), Client->takeHold());
  armDeadline();
  co_return mayBringMore;
}

/// Returns whether input from here on counts as unread. While leaving, that is
/// so behind a request in progress: its answer closes the connection, or comes
/// too late for the one behind.
bool Session::leavesInputUnread() const {
  bool isLeaving = Shared->Draining || Shared->ClosesAfterResponses;
  return Closing || (isLeaving && !Requests.empty());
}

void Session::accept(Request request, MemoryHold held) {
  auto pending = std::make_shared<PendingRequest>();
  pending->IsHead = request.method() == bh::verb::head;
  pending->KeepAlive = request.keep_alive();
  pending->TakesChunks = request.version() >= 11;
  pending->IsSafe = isSafe(request.method());
  pending->Message = std::move(request);
  pending->Held = std::move(held);
  pending->Held.startRunning();
  Requests.push_back(std::move(pending));
  startEligible();
}

/// Starts all requests that need not wait for earlier ones.
void Session::startEligible() {
  for (const PendingRequestPointer &it : Requests) {
    if (it != Requests.front() && !it->IsSafe)
      return;
    if (!it->Started) {
      it->Started = true;
      it->Watch = std::make_shared<ClientWatch>();
      asio::co_spawn(
          Client->socket().get_executor(),
          [self = shared_from_this(), it] { return self->handle(it); },
          asio::detached);
    }
    if (!it->IsSafe)
      return;
  }
}

asio::awaitable<void> Session::handle(PendingRequestPointer pending) {
  Response response = co_await callHandler(pending);
  pending->Held.release();
  if (pending->HttpResponse)
    co_return; // See answerUnfinished().
  if (pending->IsHead)
    response.body().clear();
  pending->HttpResponse = std::move(response);
  co_await writeResponses();
}

asio::awaitable<Response> Session::callHandler(PendingRequestPointer pending) {
  auto &watch = pending->Watch;
  IncomingRequest incoming{std::move(pending->Message), Peer,
                           std::shared_ptr<bool>(watch, &watch->Gone), watch};
  std::string failure;
  try {
    Response response = co_await Shared->Handle(std::move(incoming));
    watch->OnGone = nullptr;
    co_return response;
  } catch (const DropConnection &) {
    closeWithReason(EndReason::HandlerClosed);
    failure = "the handler dropped the connection";
  } catch (const std::exception &error) {
    failure = error.what();
  }
  watch->OnGone = nullptr;
  co_return makeErrorResponse(base::ResultCode::Internal,
                              calls::CallOutcome::Unknown, failure);
}

/// Writes the responses that are next in order.
asio::awaitable<void> Session::writeResponses() {
  if (Writing || Closing)
    co_return;
  Writing = true;
  while (!Requests.empty() && Requests.front()->HttpResponse &&
         Client->isOpen()) {
    Response response = std::move(*Requests.front()->HttpResponse);
    bool isLeaving = Shared->Draining || Shared->ClosesAfterResponses;
    bool keepsAlive = Requests.front()->KeepAlive && response.keep_alive() &&
                      !(isLeaving && Requests.size() == 1);
    response.keep_alive(keepsAlive);
    if (keepsAlive)
      advertiseIdleTimeout(response);
    // Input from here on follows a response that closes the connection.
    Closing = Closing || !keepsAlive;
    Client->expireAfter(Shared->Limits.ResponseTimeout);
    auto pending = Requests.front();
    bool isWritten = co_await writeResponse(*pending, response);
    response = Response();
    Requests.pop_front();
    EndRecord.Answered += isWritten ? 1 : 0;
    if (!isWritten)
      closeWithReason(EndReason::AnswerNotWritten);
    if (!isWritten || !keepsAlive) {
      abandonFollowing();
      break;
    }
    startEligible();
  }
  Writing = false;
  if (!Client->isOpen())
    clientDisconnected();
  else if (!Closing)
    armDeadline();
  StateChanged.cancel();
}

/// Writes a response, with its rest if it has one.
asio::awaitable<bool> Session::writeResponse(const PendingRequest &pending,
                                             Response &response) {
  const auto watch = pending.Watch;
  if (response.Rest)
    watch->OnGone = [rest = response.Rest] { rest->abandon(); };
  // A client of HTTP/1.0 could not tell a rest that breaks off from its end.
  if (response.Rest && !pending.TakesChunks && !response.Rest->wholeBytes())
    co_await gatherRest(response);
  bool isWritten = co_await Client->write(response);
  if (watch)
    watch->OnGone = nullptr;
  co_return isWritten;
}

/// Reads the rest of a response, which then has a length.
asio::awaitable<void> Session::gatherRest(Response &response) {
  const auto rest = std::exchange(response.Rest, nullptr);
  const bool keepsAlive = response.keep_alive();
  MemoryHold hold(Shared->Limits.Memory, HoldKind::Answering, {});
  std::string part;
  bool isWhole = hold.claim(response.body().size());
  while (isWhole && !rest->isWhole()) {
    isWhole = co_await rest->read(part) &&
              hold.claim(response.body().size() + part.size());
    if (isWhole)
      response.body() += part;
  }
  if (isWhole) {
    response.content_length(response.body().size());
    co_return;
  }
  response =
      makeErrorResponse(base::ResultCode::CallOutcomeUnknown,
                        calls::CallOutcome::Unknown, "the response broke off");
  response.keep_alive(keepsAlive);
}

/// Abandons the requests that follow a response that closes the connection.
void Session::abandonFollowing() {
  Closing = true;
  clientDisconnected();
  error_code ec;
  Client->socket().cancel(ec);
}

/// Announces the idle timeout to the client.
void Session::advertiseIdleTimeout(Response &response) {
  auto whole =
      std::chrono::floor<std::chrono::seconds>(Shared->Limits.IdleTimeout);
  if (!Shared->Limits.AdvertisesIdleTimeout || whole.count() < 1)
    return;
  AdvertisedIdleTimeout = whole;
  response.set(bh::field::keep_alive,
               "timeout=" + std::to_string(whole.count()));
}

/// Sets the deadline for what the connection currently waits for.
void Session::armDeadline() {
  if (Writing)
    return;
  if (Reading)
    Client->expireAfter(Shared->Limits.RequestTimeout);
  else if (Requests.empty())
    Client->expireAfter(Shared->Draining ? Shared->Limits.DrainLinger
                                         : std::max(Shared->Limits.IdleTimeout,
                                                    AdvertisedIdleTimeout));
  else
    Client->clearDeadline();
}

asio::awaitable<void> Session::awaitChange() {
  error_code ec;
  co_await StateChanged.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
}

/// Waits until all requests read have been answered, or the connection has
/// ended.
asio::awaitable<void> Session::awaitResponses() {
  while (Client->isOpen() && (Writing || (!Closing && !Requests.empty()))) {
    watchClient();
    co_await awaitChange();
  }
}

asio::awaitable<void> Session::refuse(Response response,
                                      std::string_view reason,
                                      EndReason endReason) {
  if (base::Metrics *counters = Shared->Limits.Counters)
    counters->counter("bad_requests_total{reason=\"" + std::string(reason) +
                      "\"}") += 1;
  response.keep_alive(false);
  Client->expireAfter(Shared->Limits.ResponseTimeout);
  bool isWritten = co_await Client->write(response);
  setEndReason(isWritten ? endReason : EndReason::AnswerNotWritten);
  bool isBodyDiscarded =
      reason == base::describe(base::ResultCode::MemoryShort).Name;
  if (isWritten)
    co_await Client->lingeringClose(isBodyDiscarded ? Shared->Limits.BodyBytes
                                                    : 0);
}

asio::awaitable<void> Session::runRejected() {
  Reading = true;
  co_await refuse(makeErrorResponse(
                      base::ResultCode::Overloaded, calls::CallOutcome::NotRun,
                      "there are too many connections", OverloadRetryAfter),
                  "too-many-connections", EndReason::OverLimit);
  reportEnd();
  Client->close();
  leave();
}

/// Watches for a disconnect of the client while nothing is being read.
void Session::watchClient() {
  if (WatchPending || Closing)
    return;
  WatchPending = true;
  Client->socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](error_code ec) { self->clientReadable(ec); });
}

void Session::clientReadable(error_code ec) {
  WatchPending = false;
  if (ec || !Client->isOpen() || !Client->atEndOfStream())
    return;
  if (!Closing && !Requests.empty())
    setEndReason(EndReason::ClientLeft);
  clientDisconnected();
}

/// Notifies all handlers that the client has disconnected; requests not yet
/// started are dropped.
void Session::clientDisconnected() {
  std::erase_if(Requests, [](const auto &it) { return !it->Started; });
  auto started = Requests;
  for (const PendingRequestPointer &it : started)
    it->Watch->clientDisconnected();
}

} // namespace radishcross::http
