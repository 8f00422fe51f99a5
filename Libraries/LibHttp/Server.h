#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibBase/Metrics.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace radishcross::http {

/// How long an idle connection of a draining server may still bring a request.
constexpr base::Duration DefaultDrainLinger = std::chrono::seconds(1);

/// What a listener takes from its clients.
struct ServerLimits {
  size_t HeaderBytes = 16UL << 10;
  size_t BodyBytes = 1UL << 20;
  base::Duration RequestTimeout = std::chrono::seconds(10);
  base::Duration ResponseTimeout = std::chrono::seconds(30);
  base::Duration IdleTimeout = std::chrono::seconds(75);
  base::Duration DrainLinger = DefaultDrainLinger;
  size_t Connections = 4096;
  /// Whether answers on kept connections tell the idle timeout (Keep-Alive).
  bool AdvertisesIdleTimeout = false;
  /// Names the listener in log lines.
  std::string_view Side = "other";
  /// Where set, refusals are counted as bad_requests_total{reason} and ends of
  /// connections as connections_ended_total{reason}. Must outlive the server.
  base::Metrics *Counters = nullptr;
};

/// Tells a handler that its client went away while it was working.
struct ClientWatch {
  bool Gone = false;
  std::function<void()> OnGone; ///< Called once, unless empty.

  /// Tells the handler.
  void clientDisconnected() {
    Gone = true;
    if (OnGone)
      std::exchange(OnGone, nullptr)();
  }
};

/// One request with where it came from.
struct IncomingRequest {
  Request Message;
  base::Address Peer;
  /// Tells whether the client still waits; polled by long-running handlers.
  std::shared_ptr<bool> ClientGone = std::make_shared<bool>(false);
  /// The same as an event; null where nobody watches the client.
  std::shared_ptr<ClientWatch> Watch;
};

/// Thrown by a handler to close the connection without an answer; for tests of
/// lost answers.
struct DropConnection {};

using Handler =
    std::function<boost::asio::awaitable<Response>(IncomingRequest)>;

/// A small HTTP/1.1 server on the node's one thread: safe requests of one
/// connection are handled side by side, any other one alone, answers keep the
/// order of the requests; strict about what it reads (ambiguous framing is
/// refused).
class Server {
public:
  /// Binds and starts to accept; fails with CannotListen.
  static std::optional<std::shared_ptr<Server>>
  create(boost::asio::io_context &context, const base::Address &listen,
         const ServerLimits &limits, Handler handler, base::LastReason &reason);
  virtual ~Server() = default;

  /// Returns the bound address; its port is chosen when 0 was asked for.
  virtual base::Address address() const = 0;

  /// Replaces the bounds of a request and the idle timeout, also for open
  /// connections; an idle one keeps the time that it was told.
  virtual void setClientLimits(size_t headerBytes, size_t bodyBytes,
                               base::Duration requestTimeout,
                               base::Duration idleTimeout) = 0;

  /// From now on every answer carries `Connection: close`; connections are
  /// still accepted.
  virtual void closeAfterResponses() = 0;

  /// Stops accepting. Requests in flight finish, and so does one that was on
  /// its way on an idle connection; their answers carry `Connection: close`.
  /// A connection that stays idle is closed after the DrainLinger of its
  /// limits.
  virtual void drain() = 0;

  /// Returns the number of requests that are being read, handled or answered.
  /// While draining, idle connections that may still bring one count as well.
  virtual size_t inFlight() const = 0;

  /// Returns the number of open connections.
  virtual size_t connections() const = 0;
};

} // namespace radishcross::http
