#include <LibHttp/Server.h>

#include <LibHttp/Answers.h>
#include <LibHttp/Connection.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <unordered_set>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Pause after a failed accept, for example without free file descriptors, and
/// while there is no room for one.
constexpr base::Duration AcceptPause = std::chrono::milliseconds(50);
/// Connections over the limit that are told so at a time; more wait in the
/// kernel.
constexpr size_t RefusalRoom = 256;
constexpr base::Duration OverloadRetry = std::chrono::seconds(1);

/// Returns the answer to a request that could not be read.
Response refusalOf(ReadEnd end, const base::LastReason &reason) {
  if (end == ReadEnd::TimedOut) {
    Response answer =
        makeAnswer(base::ResultCode::BadRequest, calls::CallOutcome::NotRun,
                   "the request did not arrive in time");
    answer.result(boost::beast::http::status::request_timeout);
    return answer;
  }
  return makeAnswer(reason.code(), calls::CallOutcome::NotRun, reason.text());
}

class ServerState;

/// One client's connection: reads, handles and answers one request at a time.
class Session final : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<ServerState> owner, tcp::socket socket);

  asio::awaitable<void> run();
  asio::awaitable<void> runOverLimit();
  void drain();
  void stop();
  bool idle() const { return Idle; }

private:
  asio::awaitable<bool> serveOne();
  asio::awaitable<void> refuse(Response response, std::string_view reason);
  asio::awaitable<bool> answer(Response response);
  asio::awaitable<Response> callHandler(Request request);
  void watchClient();
  void clientReadable(error_code ec);

  std::shared_ptr<ServerState> Owner;
  ConnectionPointer Link;
  base::Address Peer;
  std::shared_ptr<ClientWatch> Watch;
  bool Idle = true;
  bool WaitPending = false;
  bool KeepAlive = true;
};

/// What a server's sessions share.
/// FIXME: Bodies being read are bounded for each connection, not in sum.
class ServerState final : public std::enable_shared_from_this<ServerState> {
public:
  ServerState(asio::io_context &context, const ServerLimits &limits,
              Handler handler)
      : Acceptor(context), Limits(limits), Handle(std::move(handler)) {}

  bool listen(const base::Address &address, base::LastReason &reason);
  asio::awaitable<void> acceptLoop();
  void drain();
  void stop();
  size_t inFlight() const;
  size_t connections() const { return Sessions.size(); }
  void leave(Session *session) { Sessions.erase(session); }

  tcp::acceptor Acceptor;
  ServerLimits Limits;
  Handler Handle;
  bool Draining = false;
  bool ClosesAfterAnswers = false;

private:
  void admit(tcp::socket socket);
  void acceptBacklog();

  std::unordered_set<Session *> Sessions;
};

Session::Session(std::shared_ptr<ServerState> owner, tcp::socket socket)
    : Owner(std::move(owner)),
      Link(std::make_shared<Connection>(std::move(socket))),
      Peer(Link->peer()) {}

asio::awaitable<void> Session::run() {
  bool isServing = true;
  while (isServing)
    isServing = co_await serveOne();
  Link->close();
  Owner->leave(this);
}

/// Returns whether the connection may bring another request.
asio::awaitable<bool> Session::serveOne() {
  if (!Link->isOpen())
    co_return false;
  Idle = true;
  Link->expireAfter(Owner->Draining ? Owner->Limits.DrainLinger
                                    : Owner->Limits.IdleTimeout);
  if (co_await Link->awaitFirstByte() != ReadEnd::Complete)
    co_return false;
  Idle = false;
  Link->expireAfter(Owner->Limits.RequestTimeout);
  Request request;
  base::LastReason reason;
  MessageLimits limits{Owner->Limits.HeaderBytes, Owner->Limits.BodyBytes};
  ReadEnd end = co_await Link->readRequest(request, limits, reason);
  if (end == ReadEnd::Closed || end == ReadEnd::Cut)
    co_return false;
  if (end != ReadEnd::Complete) {
    std::string_view name = end == ReadEnd::TimedOut
                                ? "request-timeout"
                                : base::describe(reason.code()).Name;
    co_await refuse(refusalOf(end, reason), name);
    co_return false;
  }
  Link->neverExpire();
  KeepAlive = request.keep_alive();
  bool isHead = request.method() == boost::beast::http::verb::head;
  Response response = co_await callHandler(std::move(request));
  if (isHead)
    response.body().clear();
  co_return co_await answer(std::move(response));
}

asio::awaitable<Response> Session::callHandler(Request request) {
  Watch = std::make_shared<ClientWatch>();
  IncomingRequest incoming{std::move(request), Peer,
                           std::shared_ptr<bool>(Watch, &Watch->Gone), Watch};
  watchClient();
  std::string failure;
  try {
    Response response = co_await Owner->Handle(std::move(incoming));
    Watch.reset();
    co_return response;
  } catch (const DropConnection &) {
    Link->close();
    failure = "the connection is dropped";
  } catch (const std::exception &error) {
    failure = error.what();
  }
  Watch.reset();
  co_return makeAnswer(base::ResultCode::Internal, calls::CallOutcome::Unknown,
                       failure);
}

asio::awaitable<bool> Session::answer(Response response) {
  bool keep = KeepAlive && !Owner->Draining && !Owner->ClosesAfterAnswers &&
              response.keep_alive();
  response.keep_alive(keep);
  Link->expireAfter(Owner->Limits.RequestTimeout);
  if (!co_await Link->write(response))
    co_return false;
  if (!keep)
    co_await Link->closeGently();
  co_return keep;
}

asio::awaitable<void> Session::refuse(Response response,
                                      std::string_view reason) {
  if (base::Metrics *counters = Owner->Limits.Counters)
    counters->counter("bad_requests_total{reason=\"" + std::string(reason) +
                      "\"}") += 1;
  response.keep_alive(false);
  Link->expireAfter(Owner->Limits.RequestTimeout);
  if (co_await Link->write(response))
    co_await Link->closeGently();
}

/// Tells a client that there are too many connections; reads nothing.
asio::awaitable<void> Session::runOverLimit() {
  Idle = false;
  co_await refuse(makeAnswer(base::ResultCode::Overloaded,
                             calls::CallOutcome::NotRun,
                             "there are too many connections", OverloadRetry),
                  "too-many-connections");
  Link->close();
  Owner->leave(this);
}

/// Watches for the client's going away while its request is handled. The wait
/// is left pending between requests, which spares cancelling it each time.
void Session::watchClient() {
  if (WaitPending)
    return;
  WaitPending = true;
  Link->socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](error_code ec) { self->clientReadable(ec); });
}

void Session::clientReadable(error_code ec) {
  WaitPending = false;
  // Without a request in hand the bytes are the next request; otherwise they
  // are a pipelined one, which waits its turn, unless the stream has ended.
  if (ec || !Watch || !Link->isOpen() || !Link->atEndOfStream())
    return;
  Watch->Gone = true;
  if (Watch->OnGone)
    std::exchange(Watch->OnGone, nullptr)();
}

void Session::drain() {
  if (Idle)
    Link->expireAfter(Owner->Limits.DrainLinger);
}

void Session::stop() { Link->close(); }

bool ServerState::listen(const base::Address &address,
                         base::LastReason &reason) {
  error_code ec;
  auto ip = asio::ip::make_address(address.Host, ec);
  tcp::endpoint endpoint(ip, address.Port);
  if (!ec)
    Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(endpoint, ec);
  if (!ec)
    Acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  if (!ec)
    return true;
  reason.fail(base::ResultCode::CannotListen,
              address.text() + ": " + ec.message());
  return false;
}

asio::awaitable<void> ServerState::acceptLoop() {
  while (Acceptor.is_open()) {
    error_code ec;
    bool isFull = Sessions.size() >= Limits.Connections + RefusalRoom;
    if (!isFull) {
      tcp::socket socket = co_await Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted || !Acceptor.is_open())
        break;
      if (!ec)
        admit(std::move(socket));
    }
    if (!isFull && !ec)
      continue;
    // What waits in the kernel is not reset, as it would be by a close.
    asio::steady_timer pause(Acceptor.get_executor(), AcceptPause);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

void ServerState::admit(tcp::socket socket) {
  bool isOver = Sessions.size() >= Limits.Connections;
  auto session =
      std::make_shared<Session>(shared_from_this(), std::move(socket));
  Sessions.insert(session.get());
  // The function keeps the session alive from before its first step on.
  asio::co_spawn(
      Acceptor.get_executor(),
      [session, isOver] {
        return isOver ? session->runOverLimit() : session->run();
      },
      asio::detached);
}

/// Takes the connections that the kernel has already set up for us: closing the
/// listener would reset them, with the requests that they may have brought.
void ServerState::acceptBacklog() {
  error_code ec;
  Acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket = Acceptor.accept(ec);
    if (!ec)
      admit(std::move(socket));
  }
}

void ServerState::drain() {
  if (!Draining)
    acceptBacklog();
  Draining = true;
  Limits.Counters = nullptr;
  error_code ec;
  Acceptor.close(ec);
  for (Session *it : Sessions)
    it->drain();
}

void ServerState::stop() {
  Draining = true;
  Limits.Counters = nullptr;
  error_code ec;
  Acceptor.close(ec);
  for (Session *it : Sessions)
    it->stop();
}

size_t ServerState::inFlight() const {
  size_t n = 0;
  for (const Session *it : Sessions)
    n += Draining || !it->idle() ? 1 : 0;
  return n;
}

/// The server as its owner holds it; its end stops the sessions.
class ListeningServer final : public Server {
public:
  explicit ListeningServer(std::shared_ptr<ServerState> state)
      : State(std::move(state)) {}
  ~ListeningServer() override { State->stop(); }
  ListeningServer(const ListeningServer &) = delete;
  ListeningServer &operator=(const ListeningServer &) = delete;

  base::Address address() const override {
    error_code ec;
    auto endpoint = State->Acceptor.local_endpoint(ec);
    return {endpoint.address().to_string(), endpoint.port()};
  }
  void closeAfterAnswers() override { State->ClosesAfterAnswers = true; }
  void drain() override { State->drain(); }
  size_t inFlight() const override { return State->inFlight(); }
  size_t connections() const override { return State->connections(); }

private:
  std::shared_ptr<ServerState> State;
};

} // namespace

std::optional<std::shared_ptr<Server>>
Server::create(asio::io_context &context, const base::Address &listen,
               const ServerLimits &limits, Handler handler,
               base::LastReason &reason) {
  auto state =
      std::make_shared<ServerState>(context, limits, std::move(handler));
  if (!state->listen(listen, reason))
    return std::nullopt;
  asio::co_spawn(
      context, [state] { return state->acceptLoop(); }, asio::detached);
  return std::make_shared<ListeningServer>(std::move(state));
}

} // namespace radishcross::http
