#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibBase/Metrics.h>
#include <LibHttp/ConnectionBudget.h>
#include <LibHttp/LinkPacer.h>
#include <LibHttp/MemoryLedger.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace radishcross::http {

/// How long an idle connection of a draining server stays open for another
/// request.
constexpr base::Duration DefaultDrainLinger = std::chrono::seconds(1);

/// Limits of a listener towards its clients.
struct ServerLimits {
  size_t HeaderBytes = 16UL << 10;
  size_t BodyBytes = 1UL << 20;
  base::Duration RequestTimeout = std::chrono::seconds(10);
  base::Duration ResponseTimeout = std::chrono::seconds(30);
  base::Duration IdleTimeout = std::chrono::seconds(75);
  base::Duration DrainLinger = DefaultDrainLinger;
  size_t Connections = 4096;
  /// Whether responses announce the idle timeout (Keep-Alive field).
  bool AdvertisesIdleTimeout = false;
  /// Paces the responses to this VM's link; null: they are not paced.
  std::shared_ptr<LinkPacer> Link = nullptr;
  /// Whether large responses are written in turns, if there is a pacer; see
  /// WriteTurns.
  bool WritesInTurns = false;
  /// Name of the listener in log lines.
  std::string_view Side = "other";
  /// If set, messages are counted in it.
  std::shared_ptr<MemoryLedger> Memory;
  /// If set, connections also have to fit into the share of it.
  std::shared_ptr<ConnectionBudget> Budget;
  ConnectionBudget::Share BudgetShare = 0;
  /// If set, refused requests are counted as bad_requests_total{reason} and
  /// ended connections as connections_ended_total{reason}. Must outlive the
  /// server.
  base::Metrics *Counters = nullptr;
};

/// Notifies a handler that its client disconnected.
struct ClientWatch {
  bool Gone = false;
  std::function<void()> OnGone; ///< Called at most once.

  /// Notifies the handler.
  void clientDisconnected() {
    Gone = true;
    if (OnGone)
      std::exchange(OnGone, nullptr)();
  }
};

/// A request and its origin.
struct IncomingRequest {
  Request Message;
  base::Address Peer;
  /// Whether the client has disconnected; polled by long-running handlers.
  std::shared_ptr<bool> ClientGone = std::make_shared<bool>(false);
  /// The same as a notification; null if the client is not watched.
  std::shared_ptr<ClientWatch> Watch;
};

/// Thrown by a handler to close the connection without a response; for tests of
/// lost responses.
struct DropConnection {};

using Handler =
    std::function<boost::asio::awaitable<Response>(IncomingRequest)>;

/// A small HTTP/1.1 server on the node's only thread. Safe requests of one
/// connection are handled concurrently, all others exclusively; responses keep
/// the order of the requests. Strict about its input: ambiguous framing is
/// refused.
class Server {
public:
  /// Binds and starts accepting; fails with CannotListen.
  static std::optional<std::shared_ptr<Server>>
  create(boost::asio::io_context &context, const base::Address &listen,
         const ServerLimits &limits, Handler handler, base::LastReason &reason);
  virtual ~Server() = default;

  /// Returns the bound address; the kernel chooses the port if 0 was asked for.
  virtual base::Address address() const = 0;

  /// Replaces the request limits and the idle timeout, also for open
  /// connections. An idle connection keeps the timeout that was announced to
  /// its client.
  virtual void setClientLimits(size_t headerBytes, size_t bodyBytes,
                               base::Duration requestTimeout,
                               base::Duration idleTimeout) = 0;

  /// From now on every response carries `Connection: close`; connections are
  /// still accepted.
  virtual void closeAfterResponses() = 0;

  /// Stops accepting. Requests in flight finish, and so does one that is
  /// already on its way on an idle connection; their responses carry
  /// `Connection: close`. A connection that stays idle is closed after
  /// DrainLinger.
  virtual void drain() = 0;

  /// Answers the requests in progress as unknown, before the process ends.
  virtual void answerUnfinished() = 0;

  /// Returns the number of connections with a request being read, handled or
  /// answered. While draining, all open connections count, as idle ones may
  /// still bring a request.
  virtual size_t inFlight() const = 0;

  /// Returns the number of open connections.
  virtual size_t connections() const = 0;
};

} // namespace radishcross::http
