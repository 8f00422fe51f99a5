#include <LibPeer/Frame.h>
#include <LibPeer/PullServer.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace radishcross::peer {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr size_t MaximumConnections = 64;
constexpr std::chrono::milliseconds ConnectionLifetime{10000};
constexpr std::string_view DroppedMalformed =
    "pulls_dropped_total{reason=\"malformed\"}";
constexpr std::string_view DroppedUnauthenticated =
    "pulls_dropped_total{reason=\"unauthenticated\"}";
constexpr std::string_view DroppedBusy = "pulls_dropped_total{reason=\"busy\"}";
constexpr std::string_view DroppedCrowded =
    "pulls_dropped_total{reason=\"crowded\"}";
/// Increments a counter for its own lifetime.
class ScopedCounter {
public:
  explicit ScopedCounter(size_t &count) : Count(count) { ++Count; }
  ~ScopedCounter() { --Count; }
  ScopedCounter(const ScopedCounter &) = delete;
  ScopedCounter &operator=(const ScopedCounter &) = delete;

private:
  size_t &Count;
};

/// Holds a slot of the transfer gate and releases it on destruction.
class TransferSlot {
public:
  TransferSlot(fleet::TransferGate &gate, fleet::TransferKind kind)
      : Gate(gate), Kind(kind), IsAcquired(gate.begin(kind)) {}
  ~TransferSlot() {
    if (IsAcquired)
      Gate.end(Kind);
  }
  TransferSlot(const TransferSlot &) = delete;
  TransferSlot &operator=(const TransferSlot &) = delete;
  bool isAcquired() const { return IsAcquired; }

private:
  fleet::TransferGate &Gate;
  fleet::TransferKind Kind;
  bool IsAcquired;
};

fleet::TransferKind transferOf(PullKind kind) {
  if (kind == PullKind::State)
    return fleet::TransferKind::State;
  return kind == PullKind::External ? fleet::TransferKind::External
                                    : fleet::TransferKind::Other;
}

} // namespace

PullServer::PullServer(asio::io_context &context,
                       MeshAuthenticator authenticator,
                       ControlByteCounters bytes, base::Metrics &counters,
                       Handler handler)
    : Acceptor(context), Authenticator(std::move(authenticator)), Bytes(bytes),
      Counters(counters), RequestHandler(std::move(handler)) {}

std::optional<std::shared_ptr<PullServer>>
PullServer::create(asio::io_context &context, const base::Address &where,
                   MeshAuthenticator authenticator, ControlByteCounters bytes,
                   base::Metrics &counters, Handler handler,
                   base::LastReason &reason) {
  std::shared_ptr<PullServer> server(new PullServer(
      context, std::move(authenticator), bytes, counters, std::move(handler)));
  boost::system::error_code ec;
  tcp::endpoint endpoint(asio::ip::make_address(where.Host, ec), where.Port);
  auto &acceptor = server->Acceptor;
  if (!ec)
    acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return reason.fail(base::ResultCode::CannotListen,
                       "peer address " + where.text() + ": " + ec.message());
  // The server may be gone before the coroutine runs for the first time.
  asio::co_spawn(
      context,
      [server]() -> asio::awaitable<void> { co_await server->acceptAll(); },
      asio::detached);
  return server;
}

void PullServer::close() {
  boost::system::error_code ignored;
  Acceptor.close(ignored);
}

asio::awaitable<void> PullServer::acceptAll() {
  auto self = shared_from_this();
  while (Acceptor.is_open()) {
    auto [ec, socket] =
        co_await Acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec)
      continue;
    if (Connections >= MaximumConnections) {
      ++Counters.counter(DroppedCrowded);
      continue;
    }
    asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket)),
                   asio::detached);
  }
}

asio::awaitable<std::optional<PullRequest>>
PullServer::readRequest(tcp::socket &socket) {
  auto frame = co_await readFrame(socket, MaximumRequestBytes);
  if (!frame)
    co_return std::nullopt;
  // After close() the node and its counters may be destroyed.
  if (!Acceptor.is_open())
    co_return std::nullopt;
  *Bytes.Received += frame->size() + FrameHeaderBytes;
  base::LastReason reason;
  auto body = Authenticator.open(*frame, reason);
  if (!body) {
    ++Counters.counter(DroppedUnauthenticated);
    co_return std::nullopt;
  }
  auto request = decodePullRequest(*body, reason);
  if (!request)
    ++Counters.counter(DroppedMalformed);
  co_return request;
}

asio::awaitable<void> PullServer::answer(tcp::socket &socket,
                                         PullRequest request) {
  PullAnswer answer;
  TransferSlot slot(Transfers, transferOf(request.Kind));
  if (slot.isAcquired()) {
    answer = RequestHandler(request);
  } else {
    ++Counters.counter(DroppedBusy);
    answer.Code = base::ResultCode::PeerBusy;
    answer.RetryAfterMilliseconds =
        static_cast<uint32_t>(Transfers.retryAfter().count());
  }
  answer.Nonce = request.Nonce;
  answer.Kind = request.Kind;
  auto frame = Authenticator.seal(encodePullAnswer(answer));
  *Bytes.Sent += frame.size() + FrameHeaderBytes;
  co_await writeFrame(socket, std::move(frame));
}

asio::awaitable<void> PullServer::serve(tcp::socket socket) {
  auto self = shared_from_this();
  ScopedCounter counted(Connections);
  FrameDeadline deadline(socket, ConnectionLifetime);
  auto request = co_await readRequest(socket);
  if (request)
    co_await answer(socket, std::move(*request));
}

} // namespace radishcross::peer
