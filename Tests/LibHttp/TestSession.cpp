#include <LibHttp/Mesh.h>

#include <LibHttp/Responses.h>
#include <LibHttp/Session.h>

#include <boost/asio/steady_timer.hpp>
#include <set>

using namespace radishcross;
using namespace radishcross::tests;

namespace {

/// A server whose handler holds each request until its path is released.
struct HoldingServer {
  HoldingServer() {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, {},
        [this](http::IncomingRequest in) { return handle(std::move(in)); },
        reason);
    REQUIRE(server);
    Listening = *server;
    auto address = Listening->address();
    Client.connect({asio::ip::make_address(address.Host), address.Port});
  }

  asio::awaitable<http::Response> handle(http::IncomingRequest in) {
    std::string path(in.Message.target());
    Started.push_back(path);
    asio::steady_timer pause(Context);
    boost::system::error_code ec;
    while (!Released.contains(path) && !ReleaseAll && !in.Watch->Gone) {
      pause.expires_after(std::chrono::milliseconds(1));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    Gone += in.Watch->Gone ? 1 : 0;
    co_return http::makeJsonResponse(200, path);
  }

  void send(std::string_view method, const std::string &path,
            const std::string &field = {}) {
    std::string text = std::string(method) + " " + path +
                       " HTTP/1.1\r\nHost: a\r\n" + field + "\r\n";
    asio::write(Client, asio::buffer(text));
  }

  /// Runs the event loop for a while in which nothing should happen.
  void runReady() {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(20));
  }

  /// Reads until the received bytes end with \p end or the connection ends;
  /// returns all bytes.
  std::string readUntil(const std::string &end) {
    std::string got;
    std::string buf(4096, ' ');
    runUntil(Context, [&] {
      boost::system::error_code ec;
      Client.non_blocking(true);
      size_t n = Client.read_some(asio::buffer(buf), ec);
      got.append(buf, 0, n);
      return got.ends_with(end) || ec == asio::error::eof;
    });
    return got;
  }

  asio::io_context Context{1};
  std::shared_ptr<http::Server> Listening;
  asio::ip::tcp::socket Client{Context};
  std::vector<std::string> Started;
  std::set<std::string> Released;
  bool ReleaseAll = false;
  size_t Gone = 0;
};

using Paths = std::vector<std::string>;

} // namespace

TEST_CASE("a safe request does not wait for a slow one before it, but its "
          "response does") {
  HoldingServer it;
  it.Released = {"/fast"};
  it.send("GET", "/slow");
  it.send("GET", "/fast");
  runUntil(it.Context, [&] { return it.Started == Paths{"/slow", "/fast"}; });
  it.runReady();
  CHECK(it.Client.available() == 0);
  it.Released.insert("/slow");
  std::string got = it.readUntil("/fast");
  CHECK(got.find("/slow") < got.find("/fast"));
  runUntil(it.Context, [&] { return it.Listening->inFlight() == 0; });
}

TEST_CASE("an unsafe request is handled exclusively") {
  HoldingServer it;
  it.send("GET", "/1");
  it.send("POST", "/2", "Content-Length: 0\r\n");
  it.send("GET", "/3");
  runUntil(it.Context, [&] { return it.Started == Paths{"/1"}; });
  it.runReady();
  CHECK(it.Started == Paths{"/1"});
  it.Released = {"/1"};
  it.readUntil("/1");
  it.runReady();
  CHECK(it.Started == Paths{"/1", "/2"});
  it.ReleaseAll = true;
  it.readUntil("/3");
  CHECK(it.Started == Paths{"/1", "/2", "/3"});
}

TEST_CASE("the number of pipelined requests is bounded") {
  HoldingServer it;
  for (size_t i = 0; i < http::Session::MaximumPipelined + 4; ++i)
    it.send("GET", "/" + std::to_string(i));
  it.runReady();
  CHECK(it.Started.size() == http::Session::MaximumPipelined);
  it.ReleaseAll = true;
  it.readUntil("/19");
  CHECK(it.Started.size() == http::Session::MaximumPipelined + 4);
}

TEST_CASE("changed limits apply to open connections, except for an announced "
          "idle timeout") {
  asio::io_context context(1);
  base::LastReason reason;
  http::ServerLimits limits;
  limits.AdvertisesIdleTimeout = true;
  limits.IdleTimeout = std::chrono::milliseconds(1500);
  auto server = http::Server::create(
      context, {"127.0.0.1", 0}, limits,
      [](http::IncomingRequest) -> asio::awaitable<http::Response> {
        co_return http::makeJsonResponse(200, "{}");
      },
      reason);
  REQUIRE(server);
  asio::ip::tcp::socket client(context);
  client.connect(
      {asio::ip::make_address("127.0.0.1"), (*server)->address().Port});
  auto exchange = [&](const std::string &field) {
    asio::write(client,
                asio::buffer("GET / HTTP/1.1\r\nHost: a\r\n" + field + "\r\n"));
    std::string buf(4096, ' ');
    size_t n = 0;
    client.async_read_some(asio::buffer(buf), [&](boost::system::error_code,
                                                  size_t got) { n = got; });
    runUntil(context, [&] { return n > 0; });
    return buf.substr(0, n);
  };
  CHECK(exchange("").find("Keep-Alive: timeout=1\r\n") != std::string::npos);
  (*server)->setClientLimits(100, 100, std::chrono::seconds(1),
                             std::chrono::milliseconds(1));
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  CHECK((*server)->connections() == 1);
  std::string response = exchange("X: " + std::string(200, 'x') + "\r\n");
  CHECK(response.starts_with("HTTP/1.1 431"));
}

TEST_CASE("a client's disconnect cancels all of its requests") {
  for (bool inBody : {false, true}) {
    CAPTURE(inBody);
    HoldingServer it;
    it.send("GET", "/1");
    it.send("GET", "/2");
    if (inBody)
      it.send("POST", "/3", "Content-Length: 10\r\n");
    runUntil(it.Context, [&] { return it.Started.size() == 2; });
    it.runReady();
    it.Client.close();
    runUntil(it.Context, [&] { return it.Gone == 2; });
    CHECK(it.Started.size() == 2);
    runUntil(it.Context, [&] { return it.Listening->connections() == 0; });
  }
}

TEST_CASE("no request after a closing response is handled") {
  HoldingServer it;
  it.send("GET", "/1");
  it.send("GET", "/2", "Connection: close\r\n");
  it.send("GET", "/3");
  it.ReleaseAll = true;
  std::string got = it.readUntil("never");
  CHECK(it.Started == Paths{"/1", "/2"});
  CHECK(got.ends_with("/2"));
  CHECK(got.find("Connection: close") > got.find("/1"));
}

TEST_CASE("a draining server answers all requests read and closes with the "
          "last response") {
  HoldingServer it;
  it.send("GET", "/1");
  it.send("GET", "/2");
  runUntil(it.Context, [&] { return it.Started.size() == 2; });
  it.Listening->drain();
  it.send("GET", "/3");
  it.runReady();
  it.ReleaseAll = true;
  std::string got = it.readUntil("never");
  size_t close = got.find("Connection: close");
  CHECK(close > got.rfind("HTTP/1.1 200"));
  CHECK(close < got.rfind('/'));
  REQUIRE(it.Started.size() >= 2);
  for (const std::string &path : it.Started)
    CHECK(got.find("\r\n\r\n" + path) != std::string::npos);
  CHECK(got.ends_with(it.Started.back()));
  runUntil(it.Context, [&] { return it.Listening->connections() == 0; });
}

TEST_CASE("an answer behind an unfinished request is delivered before the "
          "process ends") {
  // Guards against answers that are lost behind a request that takes too long.
  HoldingServer it;
  it.send("GET", "/long");
  it.send("GET", "/short");
  runUntil(it.Context, [&] { return it.Started.size() == 2; });
  it.Released.insert("/short");
  it.Listening->drain();
  it.runReady();
  it.Listening->answerUnfinished();
  const auto got = it.readUntil("/short");
  CHECK(got.find("HTTP/1.1 502") == 0);
  const auto second = got.find("HTTP/1.1 200");
  REQUIRE(second != std::string::npos);
  CHECK(got.find("Connection: close", second) != std::string::npos);
}
