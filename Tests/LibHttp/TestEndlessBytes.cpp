#include <LibHttp/Mesh.h>

#include <LibHttp/ConnectionPool.h>
#include <LibHttp/Exchange.h>

using namespace radishcross;
using namespace radishcross::tests;
using calls::AttemptEnd;

namespace {

/// What a server sends after a request: a prefix, then the same bytes
/// repeatedly until the client closes.
struct EndlessResponse {
  const char *Name;
  std::string Prefix;
  std::string Repeated;
};

const std::vector<EndlessResponse> &endlessKinds() {
  static const std::vector<EndlessResponse> out = {
      {"no head at all", "", std::string(4096, 'x')},
      {"a status line", "HTTP/1.1 200 ", std::string(4096, 'x')},
      {"a line of the head", "HTTP/1.1 200 OK\r\nA: ", std::string(4096, 'x')},
      {"lines of the head", "HTTP/1.1 200 OK\r\n", "A: b\r\nC: d\r\n"},
      {"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n",
       std::string(65536, 'x')},
      {"a body of a great length",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
       std::string(65536, 'x')},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "4\r\nabcd\r\n"},
      {"a chunk's length",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       std::string(4096, '0')},
      {"a chunk's extension",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
       std::string(4096, 'x')},
      {"a trailer's line",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
       std::string(4096, 'x')},
      {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "A: b\r\nC: d\r\n"},
  };
  return out;
}

/// Sends one kind of endless response to its client and counts the bytes sent.
class EndlessServer {
public:
  EndlessServer(asio::io_context &context, const EndlessResponse &kind,
                base::Duration pause = {})
      : Acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}), Kind(kind),
        Pause(pause) {
    asio::co_spawn(context, serve(), asio::detached);
  }
  base::Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  size_t Sent = 0;
  bool Ended = false; ///< The client closed.

private:
  asio::awaitable<void> serve() {
    boost::system::error_code ec;
    auto done = asio::redirect_error(asio::use_awaitable, ec);
    auto socket = co_await Acceptor.async_accept(done);
    // A small send buffer keeps the bytes in transit few, so that the count is
    // close to what was read.
    socket.set_option(asio::socket_base::send_buffer_size(16 << 10), ec);
    std::string buf(4096, ' ');
    co_await socket.async_read_some(asio::buffer(buf), done);
    co_await asio::async_write(socket, asio::buffer(Kind.Prefix), done);
    asio::steady_timer timer(socket.get_executor());
    while (!ec) {
      Sent +=
          co_await asio::async_write(socket, asio::buffer(Kind.Repeated), done);
      if (ec || Pause.count() == 0)
        continue;
      timer.expires_after(Pause);
      co_await timer.async_wait(done);
    }
    Ended = true;
  }

  asio::ip::tcp::acceptor Acceptor;
  EndlessResponse Kind;
  base::Duration Pause;
};

struct EndlessExchange {
  http::ExchangeResult Result;
  size_t Sent = 0;
  bool IsKept = false;
};

EndlessExchange fetchFrom(const EndlessResponse &kind, base::Duration timeout,
                          base::Duration pause = {}) {
  asio::io_context context(1);
  EndlessServer server(context, kind, pause);
  http::ConnectionPool pool(context);
  http::Request request(bh::verb::get, "/", 11);
  http::ExchangePlan plan;
  plan.Server = server.address();
  plan.Timeout = timeout;
  EndlessExchange out;
  out.Result =
      await(context, http::exchange(pool, plan, request,
                                    std::make_shared<http::ClientWatch>()));
  out.Sent = server.Sent;
  out.IsKept = pool.idleCount() > 0;
  return out;
}

} // namespace

TEST_CASE("endless invalid responses end the attempt within its limits") {
  const http::ExchangePlan usual;
  // A body up to its limit, a head, and what two sockets buffer.
  constexpr size_t UnderWay = 4UL << 20;
  const auto maxSent = usual.ResponseLimits.BodyBytes +
                       usual.ResponseLimits.HeaderBytes + UnderWay;
  for (const auto &kind : endlessKinds()) {
    INFO(kind.Name);
    auto exchanged = fetchFrom(kind, std::chrono::seconds(2));
    // The call may have run, and is not reported as answered.
    CHECK((exchanged.Result.End == AttemptEnd::Broken ||
           exchanged.Result.End == AttemptEnd::TimedOut));
    CHECK(exchanged.Result.Latency <= std::chrono::milliseconds(2500));
    CHECK_FALSE(exchanged.IsKept);
    // Informational responses have no body: they may arrive until the deadline,
    // and none is stored.
    if (kind.Name != std::string("informational answers"))
      CHECK(exchanged.Sent <= maxSent);
  }
}

TEST_CASE("a trickle of bytes does not extend the deadline") {
  for (const auto &kind : endlessKinds()) {
    INFO(kind.Name);
    EndlessResponse slow{kind.Name, kind.Prefix, "x"};
    auto exchanged = fetchFrom(slow, std::chrono::milliseconds(400),
                               std::chrono::milliseconds(20));
    CHECK(exchanged.Result.End != AttemptEnd::Answered);
    CHECK(exchanged.Result.Latency <= std::chrono::milliseconds(900));
    CHECK_FALSE(exchanged.IsKept);
  }
}
