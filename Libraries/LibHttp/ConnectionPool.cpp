#include <LibHttp/ConnectionPool.h>

#include <algorithm>
#include <cstddef>

namespace radishcross::http {

namespace {

/// Shorter than any server's idle timeout, so that this side closes first
/// and no request crosses the server's close.
constexpr base::Duration IdleTimeout = std::chrono::seconds(10);

/// Fraction of a server's idle timeout in which a connection is reused.
constexpr int UsableNumerator = 4;
constexpr int UsableDenominator = 5;
/// Maximum number of servers remembered as echoing request ids.
constexpr size_t MaxEchoingServers = 4096;
/// Maximum number of servers with a limit of their own.
constexpr size_t MaxRestLimits = 4096;

} // namespace

ConnectionPointer ConnectionPool::acquireIdle(const base::Address &server,
                                              base::TimePoint now,
                                              std::string_view requestId) {
  auto it = Idle.find(server);
  if (it == Idle.end())
    return nullptr;
  const auto limit = restLimitOf(server, now);
  auto &connections = it->second;
  for (size_t n = connections.size(); n > 0; --n) {
    auto at = connections.begin() + static_cast<std::ptrdiff_t>(n - 1);
    if (at->Pooled->refusals().contains(requestId))
      continue;
    IdleConnection idle = std::move(*at);
    connections.erase(at);
    bool isRested = limit && now - idle.Since > *limit;
    if (now < idle.Until && !isRested && !idle.Pooled->hasPendingInput())
      return idle.Pooled;
    idle.Pooled->close();
  }
  return nullptr;
}

ConnectionPointer ConnectionPool::makeNew() {
  auto out =
      std::make_shared<Connection>(boost::asio::ip::tcp::socket(*Context));
  out->setLedger(Ledger);
  return out;
}

void ConnectionPool::release(const base::Address &server,
                             ConnectionPointer connection, base::TimePoint now,
                             std::optional<base::Duration> serverIdleTimeout) {
  base::Duration usable = IdleTimeout;
  if (serverIdleTimeout)
    usable = std::min(usable,
                      *serverIdleTimeout * UsableNumerator / UsableDenominator);
  auto &connections = Idle[server];
  connection->clearDeadline();
  if (connections.size() >= IdlePerServer || usable.count() <= 0) {
    connection->close();
    return;
  }
  connections.push_back({std::move(connection), now + usable, now});
}

void ConnectionPool::dropIdle(const base::Address &server) {
  auto it = Idle.find(server);
  if (it == Idle.end())
    return;
  for (IdleConnection &idle : it->second)
    idle.Pooled->close();
  Idle.erase(it);
}

void ConnectionPool::noteLost(const base::Address &server, base::Duration rest,
                              base::Duration silence, base::TimePoint now) {
  if (RestLimits.size() >= MaxRestLimits && !RestLimits.contains(server))
    return;
  auto &limit = RestLimits[server];
  if (limit.lost(rest, silence, now) && OnRestLimit)
    OnRestLimit(server, rest, *limit.current(now));
}

std::optional<base::Duration>
ConnectionPool::restLimitOf(const base::Address &server,
                            base::TimePoint now) const {
  auto it = RestLimits.find(server);
  return it == RestLimits.end() ? std::nullopt : it->second.current(now);
}

void ConnectionPool::noteEchoedId(const base::Address &server) {
  if (EchoesIds.size() >= MaxEchoingServers)
    EchoesIds.clear();
  EchoesIds.insert(server);
}

void ConnectionPool::tick(base::TimePoint now) {
  for (auto &[server, connections] : Idle) {
    const auto limit = restLimitOf(server, now);
    std::erase_if(connections, [now, limit](IdleConnection &idle) {
      if (now < idle.Until && (!limit || now - idle.Since <= *limit))
        return false;
      idle.Pooled->close();
      return true;
    });
  }
  std::erase_if(Idle, [](const auto &entry) { return entry.second.empty(); });
  std::erase_if(RestLimits, [now](const auto &entry) {
    return !entry.second.current(now);
  });
}

size_t ConnectionPool::idleCount() const {
  size_t n = 0;
  for (const auto &[server, connections] : Idle)
    n += connections.size();
  return n;
}

} // namespace radishcross::http
