#include <LibHttp/Mesh.h>

#include <LibHttp/Responses.h>

using namespace radishcross;
using namespace radishcross::tests;

namespace {

constexpr size_t HeaderLimit = 2048;
constexpr size_t BodyLimit = 4096;

/// A server that records the requests that reach its handler.
struct CountingServer {
  explicit CountingServer(base::Duration requestTimeout) {
    base::LastReason reason;
    http::ServerLimits limits;
    limits.HeaderBytes = HeaderLimit;
    limits.BodyBytes = BodyLimit;
    limits.RequestTimeout = requestTimeout;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, limits,
        [this](http::IncomingRequest in) -> asio::awaitable<http::Response> {
          Bodies.push_back(in.Message.body());
          co_return http::makeJsonResponse(200,
                                           std::string(in.Message.target()));
        },
        reason);
    REQUIRE(server);
    Listening = *server;
  }

  std::string exchangeWith(const std::string &text, bool halfClose = false) {
    return await(Context, exchangeRaw(Listening->address(), text, halfClose));
  }

  asio::io_context Context{1};
  std::vector<std::string> Bodies;
  std::shared_ptr<http::Server> Listening;
};

std::string statusOf(const std::string &response) {
  return response.size() < 12 ? response : response.substr(9, 3);
}

struct BadRequest {
  const char *Name;
  std::string Text;
  const char *Status;
};

const std::string Post = "POST /pay HTTP/1.1\r\nHost: a\r\n";
const std::string Chunked = Post + "Transfer-Encoding: chunked\r\n\r\n";

const BadRequest Refused[] = {
    {"both length fields",
     Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"lengths that differ",
     Post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
    {"lengths that agree",
     Post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400"},
    {"a list of lengths", Post + "Content-Length: 3, 3\r\n\r\nabc", "400"},
    {"a signed length", Post + "Content-Length: +3\r\n\r\nabc", "400"},
    {"a negative length", Post + "Content-Length: -3\r\n\r\nabc", "400"},
    {"a hexadecimal length", Post + "Content-Length: 0x3\r\n\r\nabc", "400"},
    {"an overflowing length",
     Post + "Content-Length: 18446744073709551619\r\n\r\nabc", "400"},
    {"another coding", Post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n",
     "400"},
    {"an unknown coding", Post + "Transfer-Encoding: xchunked\r\n\r\nabc",
     "400"},
    {"two codings",
     Post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
     "400"},
    {"chunks in HTTP/1.0",
     "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
    {"a bad chunk size", Chunked + "zz\r\nabc\r\n0\r\n\r\n", "400"},
    {"an overflowing chunk size", Chunked + "fffffffffffffffff\r\nabc", "400"},
    {"a chunk longer than its size", Chunked + "3\r\nabcdef\r\n0\r\n\r\n",
     "400"},
    {"a trailer", Chunked + "0\r\nX-Radishcross-Rank: critical\r\n\r\n", "400"},
    {"a folded line", Post + "X-A: b\r\n c: d\r\n\r\n", "400"},
    {"a bare line feed", "GET / HTTP/1.1\nHost: a\n\n", "400"},
    {"a late bare line feed", Post + "X-A: b\nX-B: c\r\n\r\n", "400"},
    {"a bare carriage return", Post + "X-A: b\rX-B: c\r\n\r\n", "400"},
    {"a NUL", Post + std::string("X-A: b\0c\r\n\r\n", 12), "400"},
    {"a space before the colon", Post + "Content-Length : 3\r\n\r\nabc", "400"},
    {"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
    {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
    {"an absolute target", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
    {"CONNECT", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
    {"an upgrade",
     "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: "
     "h2c\r\n\r\n",
     "400"},
    {"dot segments", "GET /history/../pay HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
    {"encoded dot segments",
     "GET /history/.%2E/pay HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
    {"a backslash", "GET /history\\pay HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
    {"another version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", "400"},
    {"no HTTP at all", "\x16\x03\x01 hello\r\n\r\n", "400"},
    {"another expectation",
     Post + "Expect: 200-maybe\r\nContent-Length: 1\r\n\r\na", "400"},
    {"a long header",
     "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(HeaderLimit, 'x') +
         "\r\n\r\n",
     "431"},
    {"an endless header", "GET /" + std::string(HeaderLimit * 2, 'x'), "431"},
    {"a long body",
     Post + "Content-Length: " + std::to_string(BodyLimit + 1) + "\r\n\r\n",
     "413"},
    {"a long chunked body",
     Chunked + "2000\r\n" + std::string(0x2000, 'x') + "\r\n0\r\n\r\n", "413"},
};

} // namespace

TEST_CASE("ambiguous requests are refused without calling the handler") {
  CountingServer server(std::chrono::seconds(10));
  for (const BadRequest &it : Refused) {
    CAPTURE(it.Name);
    // The following bytes must not be taken for a request either.
    std::string response = server.exchangeWith(
        it.Text + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(statusOf(response) == it.Status);
    CHECK(response.find(R"("outcome":"not-run")") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(response.find("smuggled") == std::string::npos);
  }
  CHECK(server.Bodies.empty());
}

TEST_CASE("a request that exceeds the request timeout gets status 408") {
  CountingServer server(std::chrono::milliseconds(20));
  for (const std::string &text :
       {std::string("GET / HT"), Post + "Content-Length: 3\r\n\r\nab",
        Chunked + "3\r\nab"}) {
    CAPTURE(text);
    CHECK(statusOf(server.exchangeWith(text)) == "408");
  }
  CHECK(server.Bodies.empty());
}

TEST_CASE("truncated requests are never handled") {
  CountingServer server(std::chrono::seconds(10));
  for (const std::string &text :
       {std::string(), std::string("GET / HT"),
        Post + "Content-Length: 3\r\n\r\nab", Chunked + "3\r\nabc\r\n"}) {
    CAPTURE(text);
    CHECK(server.exchangeWith(text, true).empty());
  }
  CHECK(server.Bodies.empty());
}

TEST_CASE("pipelined requests are handled in order") {
  CountingServer server(std::chrono::seconds(10));
  std::string response = server.exchangeWith(
      Post + "Content-Length: 3\r\n\r\nabc" + Chunked +
      "2;ext=1\r\nde\r\n1\r\nf\r\n0\r\n\r\n" +
      "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
      "GET /after HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(server.Bodies == std::vector<std::string>{"abc", "def", ""});
  CHECK(response.find("/last") != std::string::npos);
  CHECK(response.find("/after") == std::string::npos);
}

TEST_CASE("Expect: 100-continue is answered with status 100") {
  CountingServer server(std::chrono::milliseconds(200));
  std::string response = server.exchangeWith(
      Post + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  CHECK(statusOf(response) == "100");
}
