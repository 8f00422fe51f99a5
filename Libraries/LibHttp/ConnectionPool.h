#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibHttp/Connection.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishcross::http {

/// Orders addresses by port first, which differs more often.
struct AddressOrder {
  bool operator()(const base::Address &a, const base::Address &b) const {
    return a.Port != b.Port ? a.Port < b.Port : a.Host < b.Host;
  }
};

/// Idle keep-alive connections by the address that they lead to. A connection
/// is in the pool only between a whole answer and the next request.
class ConnectionPool {
public:
  /// Connections to one server that are kept while idle; more are closed.
  static constexpr size_t DefaultIdlePerServer = 120;

  explicit ConnectionPool(boost::asio::io_context &context,
                          size_t idlePerServer = DefaultIdlePerServer)
      : Context(&context), IdlePerServer(idlePerServer) {}

  /// Returns the connection to \p server that was used last and is still
  /// usable, or null.
  ConnectionPointer acquireIdle(const base::Address &server,
                                base::TimePoint now);

  /// Returns a new connection, not yet connected.
  ConnectionPointer makeNew();

  /// Takes back a connection after a whole answer. It is used again only before
  /// four fifths of \p serverIdleTimeout, for which the server keeps it, have
  /// passed.
  void release(const base::Address &server, ConnectionPointer connection,
               base::TimePoint now,
               std::optional<base::Duration> serverIdleTimeout = std::nullopt);

  /// Closes the idle connections to \p server, as what lies in between may
  /// have lost track of them all.
  void dropIdle(const base::Address &server);

  /// Notes that answers of \p server carry the id of their request, and tells
  /// whether that has been seen.
  void noteEchoedId(const base::Address &server);
  bool echoesIds(const base::Address &server) const {
    return EchoesIds.contains(server);
  }

  /// Closes connections that were idle for too long.
  void tick(base::TimePoint now);

  size_t idleCount() const;

private:
  struct IdleConnection {
    ConnectionPointer Pooled;
    base::TimePoint Until{};
  };
  boost::asio::io_context *Context;
  size_t IdlePerServer;
  std::map<base::Address, std::vector<IdleConnection>, AddressOrder> Idle;
  std::set<base::Address, AddressOrder> EchoesIds;
};

} // namespace radishcross::http
