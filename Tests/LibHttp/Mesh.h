#pragma once

#include <LibHttp/CallProxy.h>
#include <LibHttp/Client.h>
#include <LibHttp/MockDecisions.h>
#include <LibHttp/Server.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace radishcross::tests {

namespace asio = boost::asio;
namespace bh = boost::beast::http;

/// Runs the event loop until \p done returns true; fails the test after a time
/// limit.
template <typename Done> void runUntil(asio::io_context &context, Done done) {
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done() && std::chrono::steady_clock::now() < limit) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(100));
  }
  REQUIRE(done());
}

/// Runs one coroutine to completion and returns its result.
template <typename Value>
Value await(asio::io_context &context, asio::awaitable<Value> work) {
  std::optional<Value> value;
  asio::co_spawn(context, std::move(work),
                 [&](const std::exception_ptr &error, Value got) {
                   REQUIRE_FALSE(error);
                   value = std::move(got);
                 });
  runUntil(context, [&] { return value.has_value(); });
  return std::move(*value);
}

/// Reserves a port without listening, so that no other program takes it.
class ClosedPort {
public:
  explicit ClosedPort(asio::io_context &context)
      : Bound(context, {asio::ip::make_address("127.0.0.1"), 0}) {}
  base::Address address() const {
    return {"127.0.0.1", Bound.local_endpoint().port()};
  }

private:
  asio::ip::tcp::socket Bound;
};

/// Sends one request over a new connection.
inline std::optional<http::Response> fetchFrom(asio::io_context &context,
                                               const base::Address &server,
                                               http::Request request) {
  base::LastReason reason;
  return await(context, http::fetch(server, std::move(request),
                                    std::chrono::seconds(10), reason));
}

/// Connects, sends raw bytes and returns everything received until the peer
/// closes.
inline asio::awaitable<std::string>
exchangeRaw(base::Address server, std::string text, bool halfClose) {
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect(
      {asio::ip::make_address(server.Host), server.Port}, asio::use_awaitable);
  boost::system::error_code ec;
  co_await asio::async_write(socket, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (halfClose)
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  std::string got;
  co_await asio::async_read(socket, asio::dynamic_buffer(got),
                            asio::redirect_error(asio::use_awaitable, ec));
  co_return got;
}

/// A server that replies to the first bytes of each connection with raw bytes,
/// then closes it.
class RawServer {
public:
  RawServer(asio::io_context &context, std::string response)
      : Acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        Answer(std::move(response)) {
    asio::co_spawn(context, run(), asio::detached);
  }
  base::Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  size_t Accepted = 0;

private:
  asio::awaitable<void> run() {
    boost::system::error_code ec;
    while (true) {
      auto socket = co_await Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
      ++Accepted;
      std::string buf(4096, ' ');
      co_await socket.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      co_await asio::async_write(socket, asio::buffer(Answer),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  asio::ip::tcp::acceptor Acceptor;
  std::string Answer;
};

inline config::SnapshotPointer emptySnapshot() {
  base::LastReason reason;
  auto snapshot = config::Snapshot::create({}, 1, reason);
  REQUIRE(snapshot);
  return *snapshot;
}

/// The proxy of one node with a mocked broker and gate.
struct ProxyNode {
  ProxyNode(asio::io_context &context, const base::Clock &clock,
            const std::string &id) {
    http::CallProxyEnvironment environment;
    environment.Context = &context;
    environment.Time = &clock;
    environment.Counters = &Counters;
    environment.Broker = &Broker;
    environment.Gate = &Gate;
    environment.CurrentSnapshot = [this] { return Snapshot; };
    environment.LocalTarget = [this](const std::string &name) {
      return Local && Local->TargetId == name ? Local : std::nullopt;
    };
    environment.OnTargetLeaving = [this](const std::string &name,
                                         uint64_t epoch) {
      Leaving.emplace_back(name, epoch);
      return true;
    };
    environment.MeshKeys = {"the mesh key"};
    environment.NodeId = id;
    base::LastReason reason;
    auto proxy = http::CallProxy::create(environment, {"127.0.0.1", 0},
                                         {"127.0.0.1", 0}, reason);
    REQUIRE(proxy);
    Proxy = *proxy;
  }

  /// Makes the broker send the first attempt to \p target behind \p node.
  void sendTo(const ProxyNode &node, const std::string &id,
              const fleet::TargetRecord &target) {
    Broker.First.What = calls::CallStep::Kind::Send;
    Broker.First.To = {id, "dc", node.Proxy->meshAddress(), target};
    Broker.First.Attempt = 1;
    Broker.First.ServiceName = target.Service;
    Broker.First.CallRank = config::Rank::Standard;
    Broker.First.AttemptTimeout = std::chrono::seconds(5);
    Broker.First.Remaining = std::chrono::seconds(5);
  }

  base::Metrics Counters;
  MockBroker Broker;
  MockGate Gate;
  /// Any snapshot will do, as the proxy only passes it on.
  config::SnapshotPointer Snapshot = emptySnapshot();
  std::optional<fleet::TargetRecord> Local;
  /// Targets that have stated that they are leaving, with their epochs.
  std::vector<std::pair<std::string, uint64_t>> Leaving;
  std::shared_ptr<http::CallProxy> Proxy;
};

} // namespace radishcross::tests
