#include <LibHttp/Mesh.h>
#include <LogFile.h>

#include <LibHttp/ConnectionEndLog.h>
#include <LibHttp/Responses.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <set>
#include <thread>

using namespace radishcross;
using namespace radishcross::tests;
using http::EndReason;

namespace {

using namespace std::chrono_literals;
using Socket = asio::ip::tcp::socket;
using Lines = std::vector<boost::json::object>;

/// More than the kernel buffers for a client that does not read.
constexpr size_t LargeBodyBytes = 64UL << 20;

std::string get(const std::string &path, const std::string &field = {}) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + field + "\r\n";
}

/// A server whose handler holds a request for a path that begins with "/held"
/// until the path is released, and whose responses for paths that end with
/// "close" close the connection.
struct LoggedServer {
  explicit LoggedServer(http::ServerLimits limits = {}) {
    limits.Counters = &Counters;
    limits.Side = "callers";
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, limits,
        [this](http::IncomingRequest in) { return handle(std::move(in)); },
        reason);
    REQUIRE(server);
    Listening = *server;
    Address = Listening->address();
  }

  asio::awaitable<http::Response> handle(http::IncomingRequest in) {
    std::string path(in.Message.target());
    Started.insert(path);
    if (path == "/drop")
      throw http::DropConnection();
    asio::steady_timer pause(Context);
    boost::system::error_code ec;
    while (path.starts_with("/held") && !Released.contains(path) &&
           !in.Watch->Gone) {
      pause.expires_after(1ms);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    auto response = http::makeJsonResponse(
        200, path == "/large" ? std::string(LargeBodyBytes, 'x') : path);
    response.keep_alive(!path.ends_with("close"));
    co_return response;
  }

  /// Returns a connection that the server has accepted and reads from.
  Socket connect() {
    size_t before = Listening->connections();
    Socket out(Context);
    out.connect({asio::ip::make_address(Address.Host), Address.Port});
    runUntil(Context, [&] { return Listening->connections() > before; });
    poll();
    return out;
  }

  /// Runs all ready handlers.
  void poll() {
    Context.restart();
    Context.poll();
  }

  void awaitStart(const std::string &path) {
    runUntil(Context, [&] { return Started.contains(path); });
  }

  void awaitEnd() {
    runUntil(Context, [&] { return Listening->connections() == 0; });
  }

  /// Reads until the server closes; returns all bytes.
  std::string readToEnd(Socket &client) {
    std::string got;
    bool isDone = false;
    asio::async_read(client, asio::dynamic_buffer(got),
                     [&](auto, size_t) { isDone = true; });
    runUntil(Context, [&] { return isDone; });
    return got;
  }

  /// Reads one response whose body is \p path.
  void readResponse(Socket &client, const std::string &path) {
    std::string got;
    bool isDone = false;
    asio::async_read_until(client, asio::dynamic_buffer(got), "\r\n\r\n" + path,
                           [&](auto, size_t) { isDone = true; });
    runUntil(Context, [&] { return isDone; });
  }

  Lines lines() {
    Lines out;
    for (auto &it : Log.lines())
      if (textAt(it, "event") == "connection ended")
        out.push_back(std::move(it));
    return out;
  }

  uint64_t count(EndReason reason) {
    return Counters.counter("connections_ended_total{reason=\"" +
                            nameOf(reason) + "\"}");
  }

  static std::string nameOf(EndReason reason) {
    return std::string(base::nameOf(http::EndReasonNames, reason));
  }

  /// Checks that one connection ended with \p reason and was not logged.
  void checkSilent(EndReason reason) {
    CHECK(lines().empty());
    CHECK(count(reason) == 1);
  }

  struct Expected {
    int Read = 0;
    int Answered = 0;
    size_t Unread = 0;
    bool Reading = false;
    bool Draining = false;
  };

  /// Checks that one connection ended with \p reason and was logged in one
  /// line.
  void checkLine(EndReason reason, const Expected &expected) {
    auto found = lines();
    REQUIRE(found.size() == 1);
    const auto &line = found[0];
    CHECK(textAt(line, "reason") == nameOf(reason));
    CHECK(textAt(line, "side") == "callers");
    CHECK(textAt(line, "read") == std::to_string(expected.Read));
    CHECK(textAt(line, "answered") == std::to_string(expected.Answered));
    CHECK(textAt(line, "dropped") ==
          std::to_string(expected.Read - expected.Answered));
    CHECK(textAt(line, "unread_bytes") == std::to_string(expected.Unread));
    CHECK(textAt(line, "reading") == (expected.Reading ? "yes" : "no"));
    CHECK(textAt(line, "draining") == (expected.Draining ? "yes" : "no"));
    CHECK_FALSE(textAt(line, "age_ms").empty());
    CHECK(textAt(line, "untold") == "0");
    CHECK(count(reason) == 1);
  }

  LogFile Log;
  base::Metrics Counters;
  asio::io_context Context{1};
  std::shared_ptr<http::Server> Listening;
  base::Address Address;
  std::set<std::string> Started;
  std::set<std::string> Released;
};

void send(Socket &client, const std::string &text) {
  asio::write(client, asio::buffer(text));
}

http::ServerLimits withIdleTimeout(base::Duration timeout) {
  http::ServerLimits out;
  out.IdleTimeout = timeout;
  return out;
}

http::ServerLimits withResponseTimeout(base::Duration timeout) {
  http::ServerLimits out;
  out.ResponseTimeout = timeout;
  return out;
}

http::ServerLimits withRequestTimeout(base::Duration timeout) {
  http::ServerLimits out;
  out.RequestTimeout = timeout;
  return out;
}

} // namespace

TEST_CASE("a client that closes while idle is not logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/1"));
  it.readResponse(client, "/1");
  client.close();
  it.awaitEnd();
  it.checkSilent(EndReason::ClientClosed);
}

TEST_CASE("an idle timeout is not logged") {
  LoggedServer it(withIdleTimeout(5ms));
  auto client = it.connect();
  it.awaitEnd();
  it.checkSilent(EndReason::IdleClosed);
}

TEST_CASE("a closing response with no further input is not logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/1", "Connection: close\r\n"));
  it.readToEnd(client);
  client.close();
  it.awaitEnd();
  it.checkSilent(EndReason::AnswerClosed);
}

TEST_CASE("input after the client's own Connection: close is not logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/1", "Connection: close\r\n") + get("/2"));
  it.readToEnd(client);
  client.close();
  it.awaitEnd();
  it.checkSilent(EndReason::AnswerClosed);
}

TEST_CASE("an idle connection when the server stops is not logged") {
  LoggedServer it;
  auto client = it.connect();
  it.Listening.reset();
  it.checkSilent(EndReason::StoppedIdle);
}

TEST_CASE("connections closed while draining are counted") {
  http::ServerLimits limits;
  limits.DrainLinger = 5ms;
  LoggedServer it(limits);
  auto client = it.connect();
  it.Listening->drain();
  it.awaitEnd();
  it.checkSilent(EndReason::IdleClosed);
}

TEST_CASE("a client that closes with a request in progress is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/held"));
  it.awaitStart("/held");
  // The client may still read, so the response is written.
  client.shutdown(Socket::shutdown_send);
  it.readToEnd(client);
  it.awaitEnd();
  it.checkLine(EndReason::ClientLeft, {.Read = 1, .Answered = 1});
}

TEST_CASE("a client that closes after its last request is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/held", "Connection: close\r\n"));
  it.awaitStart("/held");
  client.shutdown(Socket::shutdown_send);
  it.readToEnd(client);
  it.awaitEnd();
  it.checkLine(EndReason::ClientLeft, {.Read = 1, .Answered = 1});
}

TEST_CASE("a client that closes in the middle of a request is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc");
  runUntil(it.Context, [&] { return it.Listening->inFlight() == 1; });
  client.close();
  it.awaitEnd();
  it.checkLine(EndReason::ClientCut, {.Reading = true});
}

TEST_CASE("a response that cannot be written is logged") {
  LoggedServer it(withResponseTimeout(50ms));
  auto client = it.connect();
  send(client, get("/large"));
  it.awaitEnd();
  it.checkLine(EndReason::AnswerNotWritten, {.Read = 1});
}

TEST_CASE("a request that does not arrive in time is logged") {
  LoggedServer it(withRequestTimeout(5ms));
  auto client = it.connect();
  send(client, "GET / HT");
  CHECK(it.readToEnd(client).starts_with("HTTP/1.1 408"));
  client.close();
  it.awaitEnd();
  it.checkLine(EndReason::ReadTimedOut, {.Unread = 8, .Reading = true});
}

TEST_CASE("refused input is logged") {
  LoggedServer it;
  auto client = it.connect();
  std::string text = "not a request\r\n\r\n";
  send(client, text);
  CHECK(it.readToEnd(client).starts_with("HTTP/1.1 400"));
  client.close();
  it.awaitEnd();
  it.checkLine(EndReason::InputRefused,
               {.Unread = text.size(), .Reading = true});
}

TEST_CASE("a connection over the limit is logged") {
  http::ServerLimits limits;
  limits.Connections = 0;
  LoggedServer it(limits);
  auto client = it.connect();
  send(client, get("/1"));
  CHECK(it.readToEnd(client).starts_with("HTTP/1.1 503"));
  client.close();
  it.awaitEnd();
  it.checkLine(EndReason::OverLimit, {.Unread = get("/1").size()});
}

TEST_CASE("a request that arrives as the idle timer fires is served") {
  LoggedServer it(withIdleTimeout(20ms));
  auto client = it.connect();
  std::this_thread::sleep_for(30ms);
  // The timer cancels the read; the bytes arrive before the session notices.
  it.Context.restart();
  REQUIRE(it.Context.run_one() == 1);
  send(client, get("/1"));
  it.readResponse(client, "/1");
  it.awaitEnd();
  it.checkSilent(EndReason::IdleClosed);
}

TEST_CASE("unread input after a closing response is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/held-close") + "GET /2 HT");
  it.awaitStart("/held-close");
  it.Released = {"/held-close"};
  it.readToEnd(client);
  client.close();
  it.awaitEnd();
  it.checkLine(EndReason::AnswerUnread,
               {.Read = 1, .Answered = 1, .Unread = 9, .Reading = true});
}

TEST_CASE("unread input left in the kernel by a draining server is logged") {
  LoggedServer it;
  auto client = it.connect();
  it.Listening->drain();
  send(client, get("/held"));
  it.awaitStart("/held");
  it.poll();
  send(client, get("/2"));
  it.Released = {"/held"};
  it.readToEnd(client);
  client.close();
  it.awaitEnd();
  CHECK(it.Started.size() == 1);
  it.checkLine(
      EndReason::AnswerUnread,
      {.Read = 1, .Answered = 1, .Unread = get("/2").size(), .Draining = true});
}

TEST_CASE("a started request dropped after a closing response is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/held-close") + get("/held"));
  it.awaitStart("/held");
  it.Released = {"/held-close"};
  it.readToEnd(client);
  client.close();
  it.awaitEnd();
  it.checkLine(EndReason::RequestDropped, {.Read = 2, .Answered = 1});
}

TEST_CASE("a request not started after a closing response is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/held-close") +
                   "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  it.awaitStart("/held-close");
  it.poll();
  it.Released = {"/held-close"};
  it.readToEnd(client);
  client.close();
  it.awaitEnd();
  CHECK(it.Started.size() == 1);
  it.checkLine(EndReason::RequestDropped, {.Read = 2, .Answered = 1});
}

TEST_CASE("a request in progress when the server stops is logged immediately") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/held"));
  it.awaitStart("/held");
  it.Listening.reset();
  LoggedServer::Expected expected{.Read = 1, .Draining = true};
  it.checkLine(EndReason::Stopped, expected);
  CHECK(it.readToEnd(client).empty());
  it.checkLine(EndReason::Stopped, expected);
}

TEST_CASE("unread input when the server stops is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/1"));
  it.Listening.reset();
  it.checkLine(EndReason::Stopped,
               {.Unread = get("/1").size(), .Draining = true});
}

TEST_CASE("a connection closed by a handler is logged") {
  LoggedServer it;
  auto client = it.connect();
  send(client, get("/drop"));
  it.awaitEnd();
  it.checkLine(EndReason::HandlerClosed, {.Read = 1});
}

TEST_CASE("log lines for connections ended by clients are rate limited, for "
          "those ended by the node they are not") {
  LogFile log;
  base::Metrics counters;
  http::ConnectionEndLog ends;
  http::ConnectionEndLog::Time now{};
  constexpr size_t EndsPerReason = 100;
  auto end = [&](EndReason reason) {
    http::ConnectionEnd it;
    it.Reason = reason;
    ends.ended(it, "mesh", &counters, now);
  };
  for (const auto &row : http::EndReasonNames) {
    CAPTURE(row.Name);
    auto before = log.lines().size();
    for (size_t i = 0; i < EndsPerReason; ++i)
      end(row.Value);
    size_t n = log.lines().size() - before;
    switch (http::endLoggingOf(row.Value)) {
    case http::EndLogging::None:
      CHECK(n == 0);
      break;
    case http::EndLogging::Bounded:
      CHECK(n == 1);
      break;
    case http::EndLogging::Always:
      CHECK(n == EndsPerReason);
      break;
    }
    CHECK(counters.counter("connections_ended_total{reason=\"" +
                           std::string(row.Name) + "\"}") == EndsPerReason);
  }
  now += http::EndLogInterval;
  end(EndReason::ClientLeft);
  CHECK(textAt(log.lines().back(), "untold") == "99");
  now += http::EndLogInterval;
  end(EndReason::ClientLeft);
  CHECK(textAt(log.lines().back(), "untold") == "0");
}
