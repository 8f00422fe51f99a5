#include <LibHttp/Connection.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>

using namespace radishcross;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Both ends of one connection.
struct ConnectedPair {
  ConnectedPair() {
    tcp::acceptor acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket near(Context);
    near.connect(acceptor.local_endpoint());
    Server = std::make_shared<http::Connection>(acceptor.accept());
    Client = std::make_shared<http::Connection>(std::move(near));
  }

  /// Exchanges one request and its response, each with a body of \p bytes.
  void exchange(size_t bytes) {
    http::Request request(boost::beast::http::verb::post, "/a", 11);
    request.set(boost::beast::http::field::host, "a");
    request.body() = std::string(bytes, 'x');
    request.prepare_payload();
    Server->expireAfter(5s);
    Client->expireAfter(5s);
    int running = 2;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          http::Response response;
          base::LastReason reason;
          REQUIRE(co_await Client->write(request));
          auto end = co_await Client->readResponse(
              response, request.method(), http::MessageLimits{}, reason);
          CHECK(end == http::ReadStatus::Complete);
          CHECK(response.body().size() == bytes);
          --running;
        },
        asio::detached);
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          http::Request taken;
          base::LastReason reason;
          CHECK(co_await Server->awaitFirstByte() ==
                http::ReadStatus::Complete);
          auto end = co_await Server->readRequest(taken, http::MessageLimits{},
                                                  true, reason);
          CHECK(end == http::ReadStatus::Complete);
          http::Response response(boost::beast::http::status::ok, 11);
          response.body() = taken.body();
          response.prepare_payload();
          CHECK(co_await Server->write(response));
          --running;
        },
        asio::detached);
    while (running > 0)
      Context.run_one();
  }

  asio::io_context Context{1};
  std::shared_ptr<http::Connection> Server;
  std::shared_ptr<http::Connection> Client;
};

} // namespace

TEST_CASE("a connection keeps little memory between messages") {
  // A node has hundreds of connections, most of them idle.
  constexpr size_t MaxBytes = 6UL << 10;
  for (size_t bytes : {10UL, 3000UL, 200'000UL, 10UL}) {
    INFO(bytes);
    ConnectedPair ends;
    for (int n = 0; n < 3; ++n) {
      ends.exchange(bytes);
      CHECK(ends.Server->bufferCapacity() <= MaxBytes);
      CHECK(ends.Client->bufferCapacity() <= MaxBytes);
    }
  }
}
