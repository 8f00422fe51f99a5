#include <LibHttp/Mesh.h>

#include <LibHttp/Responses.h>

using namespace radishcross;
using namespace radishcross::tests;

namespace {

const std::string Get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

asio::awaitable<http::Response> answerOk(http::IncomingRequest) {
  co_return http::makeJsonResponse(200, "{}");
}

asio::ip::tcp::socket connectTo(asio::io_context &context,
                                const base::Address &server) {
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address(server.Host), server.Port});
  return socket;
}

std::string readToEnd(asio::io_context &context,
                      asio::ip::tcp::socket &socket) {
  std::string got;
  bool done = false;
  asio::async_read(socket, asio::dynamic_buffer(got),
                   [&](auto, size_t) { done = true; });
  runUntil(context, [&] { return done; });
  return got;
}

} // namespace

TEST_CASE("a fetch returns the handler's complete response") {
  asio::io_context context(1);
  base::LastReason reason;
  http::Handler echo =
      [](http::IncomingRequest in) -> asio::awaitable<http::Response> {
    http::Response response(bh::status::ok, 11);
    response.body() = std::string(in.Message.target()) + in.Message.body();
    response.prepare_payload();
    co_return response;
  };
  auto server =
      http::Server::create(context, {"127.0.0.1", 0}, {}, echo, reason);
  REQUIRE(server);
  std::optional<http::Response> got;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        http::Request request(bh::verb::post, "/path", 11);
        request.body() = std::string(100000, 'x');
        got = co_await http::fetch((*server)->address(), request,
                                   std::chrono::seconds(5), reason);
        server->reset();
      },
      asio::detached);
  context.run();
  REQUIRE(got);
  CHECK(got->body() == "/path" + std::string(100000, 'x'));
}

TEST_CASE("a fetch from a closed port fails with NodeUnreachable") {
  asio::io_context context(1);
  ClosedPort closed(context);
  base::LastReason reason;
  CHECK_FALSE(http::fetchBlocking(closed.address(), {bh::verb::get, "/", 11},
                                  std::chrono::seconds(5), reason));
  CHECK(reason.code() == base::ResultCode::NodeUnreachable);
}

TEST_CASE("a header limit beyond 32 bits does not refuse every request") {
  for (size_t limit : {size_t{1} << 32U, (size_t{1} << 32U) + 9, SIZE_MAX}) {
    CAPTURE(limit);
    asio::io_context context(1);
    base::LastReason reason;
    auto server =
        http::Server::create(context, {"127.0.0.1", 0}, {}, answerOk, reason);
    REQUIRE(server);
    (*server)->setClientLimits(limit, limit, std::chrono::seconds(5),
                               std::chrono::seconds(5));
    auto got =
        fetchFrom(context, (*server)->address(), {bh::verb::get, "/", 11});
    REQUIRE(got);
    CHECK(got->result_int() == 200);
  }
}

TEST_CASE("a draining server serves a request already in transit, then closes "
          "idle connections") {
  asio::io_context context(1);
  base::LastReason reason;
  http::ServerLimits limits;
  limits.DrainLinger = std::chrono::milliseconds(20);
  auto server =
      http::Server::create(context, {"127.0.0.1", 0}, limits, answerOk, reason);
  REQUIRE(server);
  auto racing = connectTo(context, (*server)->address());
  auto idle = connectTo(context, (*server)->address());
  // The request is in the kernel's buffer, unread, when the drain begins.
  asio::write(racing, asio::buffer(Get));
  (*server)->drain();
  std::string response = readToEnd(context, racing);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("Connection: close") != std::string::npos);
  CHECK(readToEnd(context, idle).empty());
  runUntil(context, [&] { return (*server)->inFlight() == 0; });
}

TEST_CASE("a response timeout between two chunks closes the connection") {
  asio::io_context context(1);
  base::LastReason reason;
  http::ServerLimits limits;
  limits.ResponseTimeout = std::chrono::milliseconds(1);
  // Copying the body takes longer than the timeout, and the kernel has no room
  // for all of it.
  constexpr size_t LargeBodyBytes = 64UL << 20;
  auto server = http::Server::create(
      context, {"127.0.0.1", 0}, limits,
      [](http::IncomingRequest) -> asio::awaitable<http::Response> {
        co_return http::makeJsonResponse(200, std::string(LargeBodyBytes, 'x'));
      },
      reason);
  REQUIRE(server);
  auto client = connectTo(context, (*server)->address());
  asio::write(client, asio::buffer(Get));
  runUntil(context, [&] { return (*server)->connections() == 1; });
  runUntil(context, [&] { return (*server)->connections() == 0; });
}

TEST_CASE("connections over the limit get status 503") {
  asio::io_context context(1);
  base::LastReason reason;
  base::Metrics counters;
  http::ServerLimits limits;
  limits.Connections = 1;
  limits.Counters = &counters;
  auto server =
      http::Server::create(context, {"127.0.0.1", 0}, limits, answerOk, reason);
  REQUIRE(server);
  auto first = connectTo(context, (*server)->address());
  runUntil(context, [&] { return (*server)->connections() == 1; });
  auto second = connectTo(context, (*server)->address());
  asio::write(second, asio::buffer(Get));
  std::string response = readToEnd(context, second);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After: 1") != std::string::npos);
  CHECK(counters.counter(
            "bad_requests_total{reason=\"too-many-connections\"}") == 1);
}
