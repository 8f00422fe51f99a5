#include <LibHttp/Mesh.h>
#include <LibHttp/RepeatingClient.h>

#include <map>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;

namespace {

/// A server that sends given bytes on its n-th connection and then keeps it
/// open without a further byte, or closes it.
class ScriptedServer {
public:
  struct Reply {
    std::string Bytes;
    bool IsClosed = false;
    std::chrono::milliseconds Delay{};
    size_t AfterRequests = 0; ///< Sent once this many requests have arrived.
  };

  ScriptedServer(asio::io_context &context, std::vector<Reply> replies)
      : Acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        Replies(std::move(replies)) {
    asio::co_spawn(context, run(), asio::detached);
  }
  base::Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  std::vector<std::string> Requests;

private:
  asio::awaitable<void> run() {
    boost::system::error_code ec;
    for (size_t n = 0;; ++n) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(
          co_await Acceptor.async_accept(
              asio::redirect_error(asio::use_awaitable, ec)));
      if (ec)
        co_return;
      Requests.emplace_back();
      asio::co_spawn(Acceptor.get_executor(), reply(socket, n), asio::detached);
    }
  }

  asio::awaitable<void> reply(std::shared_ptr<asio::ip::tcp::socket> socket,
                              size_t n) {
    std::string buf(4096, ' ');
    boost::system::error_code ec;
    size_t got = co_await socket->async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    Requests[n] = buf.substr(0, got);
    const auto script = n < Replies.size() ? Replies[n] : Reply{};
    asio::steady_timer timer(Acceptor.get_executor());
    while (Requests.size() < script.AfterRequests) {
      timer.expires_after(1ms);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    timer.expires_after(script.Delay);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_await asio::async_write(*socket, asio::buffer(script.Bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (script.IsClosed)
      co_return;
    // Ends when the client closes.
    co_await socket->async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
  }

  asio::ip::tcp::acceptor Acceptor;
  std::vector<Reply> Replies;
};

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

http::RepeatPolicy quickPolicy() {
  http::RepeatPolicy out;
  out.FirstDelay = 30ms;
  out.Spacing = 5s; // Longer than any stall of the machine.
  out.Timeout = 10s;
  return out;
}

struct Outcome {
  std::optional<http::Response> Response;
  base::LastReason Reason;
  int Repeats = 0;
};

Outcome fetchFrom(asio::io_context &context, const base::Address &server,
                  const http::RepeatPolicy &policy) {
  http::RepeatableRequest request;
  request.First = http::Request(bh::verb::get, "/first", 11);
  request.Repeat = http::Request(bh::verb::get, "/repeat", 11);
  Outcome out;
  out.Response = await(context, http::fetchRepeating(
                                    server, request, policy,
                                    [&] { ++out.Repeats; }, out.Reason));
  return out;
}

} // namespace

TEST_CASE("a response that is lost at any of its bytes is requested again") {
  for (size_t n : {size_t{0}, size_t{1}, size_t{17}, Whole.size() - 5,
                   Whole.size() - 4, Whole.size() - 1}) {
    CAPTURE(n);
    asio::io_context context(1);
    ScriptedServer server(context, {{Whole.substr(0, n)}, {Whole}});
    auto got = fetchFrom(context, server.address(), quickPolicy());
    REQUIRE(got.Response);
    CHECK(got.Response->body() == "done");
    CHECK(got.Repeats == 1);
    REQUIRE(server.Requests.size() == 2);
    CHECK(server.Requests[0].starts_with("GET /first "));
    CHECK(server.Requests[1].starts_with("GET /repeat "));
  }
}

TEST_CASE("a large response that stops midway is waited for as if it arrived "
          "slowly") {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n";
  std::string half(200'000, 'x');
  asio::io_context context(1);
  ScriptedServer server(context, {{head + half}, {head + half + half}});
  auto policy = quickPolicy();
  policy.LeastBytesPerSecond = 10'000; // The bytes received take 20 s.
  auto got = fetchFrom(context, server.address(), policy);
  REQUIRE(got.Response);
  CHECK(got.Response->body().size() == 400'000);
}

TEST_CASE("a request is repeated until the server is back") {
  asio::io_context context(1);
  ScriptedServer server(context, {{}, {}, {}, {Whole}});
  auto policy = quickPolicy();
  policy.Spacing = 500ms;
  auto got = fetchFrom(context, server.address(), policy);
  CHECK(got.Response);
  CHECK(got.Repeats == 3);
}

TEST_CASE("a slow server's response to an older copy counts") {
  asio::io_context context(1);
  ScriptedServer server(context, {{Whole, false, 120ms, 2}, {}});
  auto got = fetchFrom(context, server.address(), quickPolicy());
  REQUIRE(got.Response);
  CHECK(got.Response->body() == "done");
}

TEST_CASE("a request to a silent server ends at its timeout") {
  asio::io_context context(1);
  ScriptedServer server(context, {});
  auto policy = quickPolicy();
  policy.Spacing = 250ms;
  policy.Timeout = 1500ms;
  auto got = fetchFrom(context, server.address(), policy);
  CHECK_FALSE(got.Response);
  CHECK(got.Reason.code() == base::ResultCode::OutcomeUnknown);
  CHECK(got.Repeats > 1);
  CHECK(got.Repeats < 7);
}

TEST_CASE("an older copy's failure does not end a request") {
  asio::io_context context(1);
  ScriptedServer server(context, {{"", true, 0ms, 2}, {Whole, false, 150ms}});
  auto got = fetchFrom(context, server.address(), quickPolicy());
  REQUIRE(got.Response);
  CHECK(got.Repeats == 1);
}

TEST_CASE("the newest copy's failure ends a request at once") {
  asio::io_context context(1);
  ScriptedServer server(context, {{}, {"", true}});
  auto got = fetchFrom(context, server.address(), quickPolicy());
  CHECK_FALSE(got.Response);
  CHECK(got.Repeats == 1);
}

TEST_CASE(
    "a response in transfer delays the repeat, one that trickles does not") {
  http::RepeatPolicy policy;
  policy.LeastBytesPerSecond = 100'000;
  base::TimePoint due{10s};
  http::RepeatSchedule it(policy, due);
  auto last = due + 2s; // The last bytes arrive then.
  CHECK(it.nextRepeat({}) == due + policy.FirstDelay);
  CHECK(it.nextRepeat({1, last}) == due + policy.FirstDelay + 10us);
  CHECK(it.nextRepeat({100'000, last}) == due + policy.FirstDelay + 1s);
  // It fails before.
  CHECK_FALSE(it.nextRepeat({1'000'000, due + 2900ms}));
  it.repeated(due + 1s);
  CHECK(it.nextRepeat({}) == due + 1s + policy.Spacing);
  it.repeated(due + 2500ms);
  CHECK_FALSE(it.nextRepeat({}));
  CHECK(it.failsAt() == due + policy.Timeout);
}

TEST_CASE(
    "a response that stops is repeated no later than one that never began") {
  http::RepeatPolicy policy;
  policy.LeastBytesPerSecond = 100'000;
  base::TimePoint due{10s};
  http::RepeatSchedule it(policy, due);
  // The server may answer before the end of the time it may hold the request.
  for (auto last : {due - 500ms, due, due + 100ms})
    CHECK(it.nextRepeat({250'000, last}) ==
          std::max(due, last) + policy.FirstDelay);
  it.repeated(due + 700ms);
  CHECK(it.nextRepeat({250'000, due + 100ms}) == due + 700ms + policy.Spacing);
}

TEST_CASE("repeats leave time to pass their result on within the bound") {
  for (base::Duration bound : {base::Duration(1s), base::Duration(2s),
                               base::Duration(3s), base::Duration(15s)}) {
    CAPTURE(bound.count());
    auto policy = http::RepeatPolicy::withinBound(bound, 875'000);
    CHECK(policy.FirstDelay < bound / 2);
    CHECK(policy.Spacing <= bound / 2);
    CHECK(policy.LeastBytesPerSecond < 875'000);
    CHECK(http::RepeatPolicy::withinBound(bound, 0).LeastBytesPerSecond > 0);
  }
}
