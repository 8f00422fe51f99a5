#include <LibHttp/Server.h>

#include <LibHttp/Session.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Delay after a failed accept, for example without free file descriptors, and
/// while MaxRejectedConnections is reached.
constexpr base::Duration AcceptRetryDelay = std::chrono::milliseconds(50);
/// Maximum number of connections above the limit that are being refused at a
/// time; more wait in the kernel's backlog.
constexpr size_t MaxRejectedConnections = 256;
/// Connections of the budget for each one that is being refused at a time.
constexpr size_t BudgetPerRejected = 32;
/// A connection gives way to a new one after so long without a byte.
constexpr base::Duration MinWaitToGiveWay = std::chrono::milliseconds(500);

/// A listener and its sessions.
class ServerState final : public SessionContext,
                          public std::enable_shared_from_this<ServerState> {
public:
  ServerState(asio::io_context &context, const ServerLimits &limits,
              Handler handler)
      : Acceptor(context) {
    Limits = limits;
    Handle = std::move(handler);
    if (limits.WritesInTurns && limits.Link)
      Turns = std::make_shared<WriteTurns>(context.get_executor(), limits.Link);
  }

  bool listen(const base::Address &address, base::LastReason &reason);
  asio::awaitable<void> acceptLoop();
  void drain();
  void stop();
  size_t inFlight() const;
  size_t connections() const { return Sessions.size(); }

  tcp::acceptor Acceptor;

private:
  void admit(tcp::socket socket);
  bool isFull() const;
  size_t maxEnding() const;
  bool makeRoom();
  void acceptBacklog();
};

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
    bool isShut = isFull() && Ending >= maxEnding() && !makeRoom();
    if (!isShut) {
      tcp::socket socket = co_await Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted || !Acceptor.is_open())
        break;
      if (!ec)
        admit(std::move(socket));
    }
    if (!isShut && !ec)
      continue;
    // Connections in the kernel's backlog wait; closing the listener would
    // reset them.
    asio::steady_timer pause(Acceptor.get_executor(), AcceptRetryDelay);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

void ServerState::admit(tcp::socket socket) {
  bool isOver = isFull() && !makeRoom();
  auto session =
      std::make_shared<Session>(shared_from_this(), std::move(socket));
  session->enter(isOver);
  // The lambda keeps the session alive until the coroutine's first step.
  asio::co_spawn(
      Acceptor.get_executor(),
      [session, isOver] {
        return isOver ? session->runRejected() : session->run();
      },
      asio::detached);
}

bool ServerState::isFull() const {
  return Sessions.size() - Ending >= Limits.Connections ||
         (Limits.Budget && !Limits.Budget->mayOpen(Limits.BudgetShare));
}

size_t ServerState::maxEnding() const {
  if (!Limits.Budget)
    return MaxRejectedConnections;
  return std::clamp<size_t>(Limits.Budget->total() / BudgetPerRejected, 1,
                            MaxRejectedConnections);
}

/// Makes the client that has been waited for longest give way; returns whether
/// there is one.
bool ServerState::makeRoom() {
  Session *longest = nullptr;
  base::TimePoint since = base::SystemClock().now() - MinWaitToGiveWay;
  for (Session *it : Sessions) {
    auto at = it->waitingSince();
    if (!at || *at > since)
      continue;
    since = *at;
    longest = it;
  }
  if (longest)
    longest->makeRoom(Ending < maxEnding());
  return longest != nullptr;
}

/// Accepts the connections already in the kernel's backlog: closing the
/// listener would reset them together with requests that may have arrived.
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
  error_code ec;
  Acceptor.close(ec);
  for (Session *it : Sessions)
    it->drain();
}

void ServerState::stop() {
  Draining = true;
  error_code ec;
  Acceptor.close(ec);
  for (Session *it : Sessions)
    it->stop();
  // Sessions may outlive the counters from here on.
  Limits.Counters = nullptr;
}

size_t ServerState::inFlight() const {
  size_t n = 0;
  for (const Session *it : Sessions)
    n += Draining || !it->idle() ? 1 : 0;
  return n;
}

/// The owner's handle of the server; its destruction stops the sessions.
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
  void setClientLimits(size_t headerBytes, size_t bodyBytes,
                       base::Duration requestTimeout,
                       base::Duration idleTimeout) override {
    State->Limits.HeaderBytes = headerBytes;
    State->Limits.BodyBytes = bodyBytes;
    State->Limits.RequestTimeout = requestTimeout;
    State->Limits.IdleTimeout = idleTimeout;
  }
  void closeAfterResponses() override { State->ClosesAfterResponses = true; }
  void drain() override { State->drain(); }
  void answerUnfinished() override {
    for (Session *it : State->Sessions)
      it->answerUnfinished();
  }
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
