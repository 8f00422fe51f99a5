#include <LibHttp/Connection.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t MaxDiscardBytes = 256UL << 10;
constexpr base::Duration DiscardTimeout = std::chrono::seconds(1);
/// A refused body is discarded for so long at most.
constexpr base::Duration MaxBodyDiscardTime = std::chrono::seconds(4);
/// Of a long answer, for its connections on both sides. Best effort: without it
/// the kernel's own limits hold.
constexpr int KernelWindowBytes = 128 << 10;
/// A deadline noticed later than this found the process paused; it then holds
/// for as long again, but no longer than the second time.
constexpr base::Duration MaxTimerDelay = std::chrono::milliseconds(5);
constexpr base::Duration MaxExtension = std::chrono::milliseconds(20);
constexpr int KeepaliveIdleSeconds = 1;
constexpr int KeepaliveIntervalSeconds = 1;
constexpr int KeepaliveProbes = 2;

} // namespace

void setSocketOptions(tcp::socket &socket, base::Duration userTimeout) {
  using Seconds =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(userTimeout);
  error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  socket.set_option(Seconds(KeepaliveIdleSeconds), ec);
  socket.set_option(Interval(KeepaliveIntervalSeconds), ec);
  socket.set_option(Count(KeepaliveProbes), ec);
  socket.set_option(UserTimeout(static_cast<int>(ms.count())), ec);
}

Connection::Connection(tcp::socket socket)
    : Socket(std::move(socket)), Timer(Socket.get_executor()) {
  if (Socket.is_open())
    setSocketOptions(Socket, IncomingUserTimeout);
}

Connection::~Connection() = default;

void Connection::expireAfter(base::Duration timeout) {
  Expired = false;
  IsExtended = false;
  DeadlineAt = Clock::now() + timeout;
  if (!TimerRunning || DeadlineAt < Timer.expiry())
    startTimer(DeadlineAt);
}

void Connection::startTimer(Clock::time_point at) {
  Timer.expires_at(at);
  TimerRunning = true;
  Timer.async_wait([weak = weak_from_this()](error_code ec) {
    auto self = weak.lock();
    if (!ec && self)
      self->timerFired();
  });
}

void Connection::timerFired() {
  TimerRunning = false;
  if (DeadlineAt == NoDeadline)
    return;
  const auto now = Clock::now();
  if (now < DeadlineAt) {
    startTimer(DeadlineAt);
    return;
  }
  // The peer may have answered while this process was paused.
  const auto late = now - DeadlineAt;
  if (late > MaxTimerDelay && !std::exchange(IsExtended, true)) {
    startTimer(now + std::min<Clock::duration>(late, MaxExtension));
    return;
  }
  Expired = true;
  error_code ec;
  Socket.cancel(ec);
  Writer.wake();
}

void Connection::close() {
  error_code ec;
  Socket.close(ec);
  Writer.wake();
}

asio::awaitable<bool> Connection::connect(const base::Address &server) {
  error_code ec;
  auto ip = asio::ip::make_address(server.Host, ec);
  if (ec)
    co_return false;
  co_await Socket.async_connect({ip, server.Port},
                                asio::redirect_error(asio::use_awaitable, ec));
  if (ec || Expired)
    co_return false;
  setSocketOptions(Socket, OutgoingUserTimeout);
  co_return true;
}

/// Cancels a write as well; a client that is behind with both is closed.
void Connection::stopReading() {
  ReadGaveWay = true;
  error_code ec;
  Socket.cancel(ec);
}

void Connection::stopWriting() {
  WriteGaveWay = true;
  error_code ec;
  Socket.cancel(ec);
  Writer.wake();
}

asio::awaitable<void> Connection::lingeringClose(size_t bodyBytes) {
  error_code ec;
  Socket.shutdown(tcp::socket::shutdown_send, ec);
  if (!ec) {
    expireAfter(DiscardTimeout);
    auto until = Clock::now() + IncomingUserTimeout;
    auto bodyUntil = Clock::now() + MaxBodyDiscardTime;
    size_t maximum = std::max(MaxDiscardBytes, bodyBytes);
    size_t discarded = 0;
    while (discarded < maximum) {
      DiscardedBytes += Buffer.size();
      Buffer.clear();
      ReadStatus end = co_await readSome(ReadChunkBytes);
      discarded += Buffer.size();
      // Input after close() would cause a reset, which drops output in transit.
      bool isUnsent = end == ReadStatus::TimedOut && hasUnsentOutput() &&
                      Clock::now() < until;
      bool isBodyComing = end == ReadStatus::Complete && bodyBytes > 0 &&
                          Clock::now() < bodyUntil;
      if (isUnsent || isBodyComing)
        expireAfter(DiscardTimeout);
      else if (end != ReadStatus::Complete)
        break;
    }
  }
  DiscardedBytes = unreadBytes();
  Buffer.clear();
  close();
}

size_t Connection::unreadBytes() const {
  error_code ec;
  size_t inKernel = Socket.is_open() ? Socket.available(ec) : 0;
  return DiscardedBytes + Buffer.size() + inKernel;
}

bool Connection::hasPendingInput() {
  if (Buffer.size() > 0)
    return true;
  char byte = 0;
  ssize_t n = ::recv(Socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::atEndOfStream() {
  char byte = 0;
  ssize_t n = ::recv(Socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::hasUnsentOutput() {
  int n = 0;
  return ::ioctl(Socket.native_handle(), SIOCOUTQ, &n) == 0 && n > 0;
}

void Connection::limitReceiveWindow() {
  using Clamp =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_WINDOW_CLAMP>;
  error_code ec;
  Socket.set_option(Clamp(KernelWindowBytes), ec);
}

/// Bounds what the kernel takes before it is sent.
void Connection::limitUnsent() {
  using Unsent =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
  error_code ec;
  Socket.set_option(Unsent(KernelWindowBytes), ec);
}

base::Address Connection::peer() const {
  error_code ec;
  auto endpoint = Socket.remote_endpoint(ec);
  if (ec)
    return {};
  return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace radishcross::http
