#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibHttp/Connection.h>
#include <LibHttp/RestLimit.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace radishcross::http {

/// Orders addresses by port first, because ports differ more often than hosts.
struct AddressOrder {
  bool operator()(const base::Address &a, const base::Address &b) const {
    return a.Port != b.Port ? a.Port < b.Port : a.Host < b.Host;
  }
};

/// Idle keep-alive connections by server address. A connection is in the pool
/// only between a complete response and the next request.
class ConnectionPool {
public:
  /// Maximum number of idle connections per server; more are closed.
  static constexpr size_t DefaultIdlePerServer = 120;

  explicit ConnectionPool(boost::asio::io_context &context,
                          size_t idlePerServer = DefaultIdlePerServer)
      : Context(&context), IdlePerServer(idlePerServer) {}

  /// Returns the most recently used idle connection to \p server that is still
  /// usable and over which the server has not refused \p requestId, or null.
  ConnectionPointer acquireIdle(const base::Address &server,
                                base::TimePoint now,
                                std::string_view requestId = {});

  /// Counts responses in \p ledger from here on; null counts none.
  void setLedger(std::shared_ptr<MemoryLedger> ledger) {
    Ledger = std::move(ledger);
  }

  /// Returns a new connection, not yet connected.
  ConnectionPointer makeNew();

  /// Returns a connection to the pool after a complete response. It is reused
  /// only within four fifths of \p serverIdleTimeout, the idle timeout
  /// announced by the server, if any.
  void release(const base::Address &server, ConnectionPointer connection,
               base::TimePoint now,
               std::optional<base::Duration> serverIdleTimeout = std::nullopt);

  /// Closes all idle connections to \p server. For use after a timeout: a
  /// middlebox on the path may have lost the state of all of them.
  void dropIdle(const base::Address &server);

  /// Called when the time that connections to a server may rest has become
  /// shorter.
  using RestLimitLearnt = std::function<void(
      const base::Address &server, base::Duration rest, base::Duration limit)>;
  void setOnRestLimit(RestLimitLearnt learnt) {
    OnRestLimit = std::move(learnt);
  }

  /// Records that a reused connection was lost without a byte of an answer; see
  /// RestLimit::lost().
  void noteLost(const base::Address &server, base::Duration rest,
                base::Duration silence, base::TimePoint now);

  /// Records that responses of \p server echo the request id; echoesIds()
  /// returns whether that was seen.
  void noteEchoedId(const base::Address &server);
  bool echoesIds(const base::Address &server) const {
    return EchoesIds.contains(server);
  }

  /// Closes connections that have been idle for too long.
  void tick(base::TimePoint now);

  size_t idleCount() const;

private:
  std::optional<base::Duration> restLimitOf(const base::Address &server,
                                            base::TimePoint now) const;
  struct IdleConnection {
    ConnectionPointer Pooled;
    base::TimePoint Until{};
    base::TimePoint Since{};
  };
  boost::asio::io_context *Context;
  size_t IdlePerServer;
  std::shared_ptr<MemoryLedger> Ledger;
  std::map<base::Address, std::vector<IdleConnection>, AddressOrder> Idle;
  std::set<base::Address, AddressOrder> EchoesIds;
  std::map<base::Address, RestLimit, AddressOrder> RestLimits;
  RestLimitLearnt OnRestLimit;
};

} // namespace radishcross::http
