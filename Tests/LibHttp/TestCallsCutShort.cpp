#include <LibHttp/TwoNodes.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;

namespace {

/// What a server sends before it closes in the middle of a response.
const std::string PartialResponses[] = {
    "",
    "HTTP/1.1 200 OK\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    "HTTP/1.1 503 No\r\nX-Radishcross-Not-Run: 1\r\n"
    "Content-Length: 10\r\n\r\nabc",
};

/// Sends the beginning of a response, then closes or resets the connection.
asio::awaitable<void> closeMidResponse(asio::ip::tcp::acceptor &acceptor,
                                       std::string beginning, bool resets) {
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  acceptor.close();
  std::string buf(4096, ' ');
  co_await socket.async_read_some(asio::buffer(buf), asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(beginning),
                             asio::use_awaitable);
  // Only an explicit close resets, the destructor does not.
  if (resets)
    socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

/// Sends \p text over one client connection and returns everything received.
std::string exchangeWithNear(TwoNodes &mesh, const std::string &text) {
  return await(mesh.Context,
               exchangeRaw(mesh.Near.Proxy->callsAddress(), text, false));
}

size_t count(const std::string &text, const std::string &part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++n;
  return n;
}

const std::string Get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string LastGet =
    "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

} // namespace

TEST_CASE("a truncated response of a target or a node is reported to the "
          "caller as unknown, and its connection stays usable") {
  enum class Where : uint8_t { LocalTarget, FarTarget, Node };
  for (Where where : {Where::LocalTarget, Where::FarTarget, Where::Node})
    for (const std::string &beginning : PartialResponses)
      for (bool resets : {false, true}) {
        CAPTURE(static_cast<int>(where));
        CAPTURE(beginning);
        CAPTURE(resets);
        TwoNodes mesh;
        asio::ip::tcp::acceptor acceptor(
            mesh.Context, {asio::ip::make_address("127.0.0.1"), 0});
        base::Address server{"127.0.0.1", acceptor.local_endpoint().port()};
        if (where != Where::Node)
          mesh.route(server);
        if (where == Where::LocalTarget) {
          mesh.Near.Local = mesh.Far.Local;
          mesh.Near.Broker.First.To.Node = "near";
        } else if (where == Where::Node) {
          mesh.Near.Broker.First.To.Mesh = server;
        }
        asio::co_spawn(mesh.Context,
                       closeMidResponse(acceptor, beginning, resets),
                       asio::detached);
        std::string got = exchangeWithNear(mesh, Get + LastGet);
        // The second call finds no server, after the response to the first one.
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(count(got, "HTTP/1.1 ") == 2);
        CHECK(count(got, "\"outcome\":\"unknown\"") >= 1);
        size_t broken = 0;
        for (const auto &it : mesh.Near.Broker.Results)
          broken += it.End == calls::AttemptEnd::Broken ? 1 : 0;
        CHECK(broken == 1);
      }
}

TEST_CASE("a target that closes its connection does not affect the caller's "
          "pipelined requests") {
  TwoNodes mesh;
  RawServer target(mesh.Context, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                 "Content-Length: 2\r\n\r\nok");
  mesh.route(target.address());
  std::string got = exchangeWithNear(mesh, Get + Get + LastGet);
  CHECK(count(got, "\r\n\r\nok") == 3);
}

TEST_CASE("a call in flight completes although its target leaves and the "
          "configuration changes") {
  for (bool isLocal : {false, true}) {
    CAPTURE(isLocal);
    TwoNodes mesh;
    if (isLocal) {
      mesh.Near.Local = mesh.Far.Local;
      mesh.Near.Broker.First.To.Node = "near";
    }
    mesh.HoldResponses = true;
    std::optional<http::Response> response;
    mesh.begin(response);
    runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 1; });
    for (ProxyNode *node : {&mesh.Near, &mesh.Far}) {
      node->Local = std::nullopt;
      node->Snapshot = emptySnapshot();
      node->Broker.First = calls::CallStep();
      node->Proxy->setNames({}, "other");
      node->Proxy->tick();
    }
    mesh.Release = true;
    runUntil(mesh.Context, [&] { return response.has_value(); });
    CHECK(response->result_int() == 200);
    CHECK(response->body() == "echo body");
    CHECK(mesh.DisconnectedAtTarget == 0);
  }
}

TEST_CASE("a call whose node is destroyed gets an unknown outcome from the "
          "caller's node") {
  TwoNodes mesh;
  mesh.HoldResponses = true;
  std::optional<http::Response> response;
  mesh.begin(response);
  runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 1; });
  mesh.Far.Proxy.reset();
  runUntil(mesh.Context, [&] { return response.has_value(); });
  CHECK(response->result_int() == 502);
  CHECK((*response)[calls::OutcomeHeader] == "unknown");
}
