#include <LibHttp/Mesh.h>

#include <LibHttp/Responses.h>

#include <algorithm>
#include <thread>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;

namespace {

const std::string Get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string LastGet =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// A server whose responses have bodies of \p bytes, and a client with a small
/// receive buffer.
struct SlowClient {
  SlowClient(const http::ServerLimits &limits, size_t bytes) : Bytes(bytes) {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, limits,
        [this](http::IncomingRequest) -> asio::awaitable<http::Response> {
          ++Handled;
          asio::steady_timer pause(Context);
          while (HoldsResponses) {
            pause.expires_after(1ms);
            co_await pause.async_wait(asio::use_awaitable);
          }
          co_return http::makeJsonResponse(200, std::string(Bytes, 'x'));
        },
        reason);
    REQUIRE(server);
    Listening = *server;
    Client.open(asio::ip::tcp::v4());
    Client.set_option(asio::socket_base::receive_buffer_size(4 << 10));
    Client.connect(
        {asio::ip::make_address("127.0.0.1"), Listening->address().Port});
    runUntil(Context, [&] { return Listening->connections() == 1; });
    runReady();
  }

  void send(const std::string &text) {
    boost::system::error_code ec;
    asio::write(Client, asio::buffer(text), ec);
  }

  /// Runs all ready handlers.
  void runReady() {
    Context.restart();
    Context.poll();
  }

  void runFor(base::Duration time) {
    Context.restart();
    Context.run_for(time);
  }

  /// Returns the number of body bytes received until the connection ends.
  size_t readBodies() {
    std::string got;
    bool done = false;
    asio::async_read(Client, asio::dynamic_buffer(got),
                     [&](auto, size_t) { done = true; });
    runUntil(Context, [&] { return done; });
    return static_cast<size_t>(std::count(got.begin(), got.end(), 'x'));
  }

  size_t Bytes;
  asio::io_context Context{1};
  std::shared_ptr<http::Server> Listening;
  asio::ip::tcp::socket Client{Context};
  size_t Handled = 0;
  bool HoldsResponses = false;
};

} // namespace

TEST_CASE(
    "a request that arrives just before the connection's timeout is served") {
  for (bool draining : {false, true}) {
    CAPTURE(draining);
    http::ServerLimits limits;
    (draining ? limits.DrainLinger : limits.IdleTimeout) = 300ms;
    SlowClient it(limits, 10);
    if (draining)
      it.Listening->drain();
    // Both timers expire in one iteration of the event loop, this one first.
    asio::steady_timer before(it.Context, 1ms);
    before.async_wait([&](auto) { it.send(LastGet); });
    std::this_thread::sleep_for(400ms);
    CHECK(it.readBodies() == 10);
    runUntil(it.Context, [&] { return it.Listening->connections() == 0; });
  }
}

TEST_CASE("a slow reader gets the complete last response although it sends "
          "another request") {
  constexpr size_t Bytes = 40'000;
  SlowClient it({}, Bytes);
  it.send(LastGet);
  it.runFor(1200ms);
  CHECK(it.Handled == 1);
  it.send(Get);
  it.runFor(50ms);
  CHECK(it.readBodies() == Bytes);
  CHECK(it.Handled == 1);
}

TEST_CASE(
    "a short request timeout does not truncate the response to a slow reader") {
  constexpr size_t Bytes = 8'000'000;
  SlowClient it({}, Bytes);
  it.Listening->setClientLimits(16 << 10, 1 << 20, 50ms, 75s);
  it.send(LastGet);
  it.runFor(200ms);
  CHECK(it.Handled == 1);
  CHECK(it.readBodies() == Bytes);
}

TEST_CASE("a partial request after the closing response is neither handled nor "
          "resets the response") {
  SlowClient it({}, 10);
  it.HoldsResponses = true;
  it.send(Get + Get.substr(0, 20));
  runUntil(it.Context, [&] { return it.Handled == 1; });
  it.Listening->closeAfterResponses();
  it.HoldsResponses = false;
  runUntil(it.Context, [&] { return it.Client.available() > 0; });
  it.send(Get.substr(20));
  CHECK(it.readBodies() == 10);
  CHECK(it.Handled == 1);
  runUntil(it.Context, [&] { return it.Listening->connections() == 0; });
}

TEST_CASE(
    "a request in progress is read with the limits from before a change") {
  SlowClient it({}, 10);
  it.send(LastGet.substr(0, 20));
  it.runReady();
  it.Listening->setClientLimits(10, 10, 1ms, 1ms);
  it.runFor(50ms);
  it.send(LastGet.substr(20));
  CHECK(it.readBodies() == 10);
}
