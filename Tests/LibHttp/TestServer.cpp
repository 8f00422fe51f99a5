#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
namespace asio = boost::asio;
namespace bh = boost::beast::http;

TEST_CASE("a server answers a fetch with the handler's whole answer") {
  asio::io_context context(1);
  base::LastReason reason;
  http::Handler echo =
      [](http::IncomingRequest in) -> asio::awaitable<http::Response> {
    http::Response answer(bh::status::ok, 11);
    answer.body() = std::string(in.Message.target()) + in.Message.body();
    answer.prepare_payload();
    co_return answer;
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

TEST_CASE("a fetch from a closed port sends nothing") {
  asio::io_context context(1);
  asio::ip::tcp::acceptor taken(context,
                                {asio::ip::make_address("127.0.0.1"), 0});
  base::Address closed{"127.0.0.1", taken.local_endpoint().port()};
  taken.close();
  base::LastReason reason;
  CHECK_FALSE(http::fetchBlocking(closed, {bh::verb::get, "/", 11},
                                  std::chrono::seconds(5), reason));
  CHECK(reason.code() == base::ResultCode::NodeUnreachable);
}
