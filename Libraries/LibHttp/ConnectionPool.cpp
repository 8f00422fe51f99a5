#include <LibHttp/ConnectionPool.h>

#include <algorithm>

namespace radishcross::http {

namespace {

/// Shorter than any server's idle timeout: this side closes first, so that no
/// request crosses the other side's close.
constexpr base::Duration IdleTimeout = std::chrono::seconds(10);

/// The part of a server's idle timeout in which a connection is used again.
constexpr int UsableFifths = 4;
constexpr int Fifths = 5;
/// Servers of which the pool remembers that they repeat ids.
constexpr size_t RememberedServers = 4096;

} // namespace

ConnectionPointer ConnectionPool::takeIdle(const base::Address &server,
                                           base::TimePoint now) {
  auto it = Idle.find(server);
  if (it == Idle.end())
    return nullptr;
  auto &links = it->second;
  while (!links.empty()) {
    IdleLink idle = std::move(links.back());
    links.pop_back();
    if (now < idle.Until && !idle.Link->hasPendingInput())
      return idle.Link;
    idle.Link->close();
  }
  return nullptr;
}

ConnectionPointer ConnectionPool::makeNew() {
  return std::make_shared<Connection>(boost::asio::ip::tcp::socket(*Context));
}

void ConnectionPool::giveBack(const base::Address &server,
                              ConnectionPointer link, base::TimePoint now,
                              std::optional<base::Duration> idleTime) {
  base::Duration usable = IdleTimeout;
  if (idleTime)
    usable = std::min(usable, *idleTime * UsableFifths / Fifths);
  auto &links = Idle[server];
  link->neverExpire();
  if (links.size() >= IdlePerServer || usable.count() <= 0) {
    link->close();
    return;
  }
  links.push_back({std::move(link), now + usable});
}

void ConnectionPool::dropIdle(const base::Address &server) {
  auto it = Idle.find(server);
  if (it == Idle.end())
    return;
  for (IdleLink &idle : it->second)
    idle.Link->close();
  Idle.erase(it);
}

void ConnectionPool::noteRepeatedId(const base::Address &server) {
  if (RepeatsIds.size() >= RememberedServers)
    RepeatsIds.clear();
  RepeatsIds.insert(server);
}

void ConnectionPool::tick(base::TimePoint now) {
  for (auto &[server, links] : Idle) {
    std::erase_if(links, [now](IdleLink &idle) {
      if (now < idle.Until)
        return false;
      idle.Link->close();
      return true;
    });
  }
  std::erase_if(Idle, [](const auto &entry) { return entry.second.empty(); });
}

size_t ConnectionPool::idleCount() const {
  size_t n = 0;
  for (const auto &[server, links] : Idle)
    n += links.size();
  return n;
}

} // namespace radishcross::http
