#include <LibHttp/AnswerSizes.h>
#include <LibHttp/LinkPacer.h>
#include <LibHttp/Mesh.h>
#include <LibHttp/Responses.h>

#include <doctest/doctest.h>
#include <vector>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;
using http::LinkPacer;

namespace {

base::TimePoint at(base::Duration passed) { return base::TimePoint{} + passed; }

/// 14 Mbit/s: a piece takes about 10 ms.
constexpr uint64_t ThinLink = 1'750'000;

} // namespace

TEST_CASE("large answers wait for the link, piece by piece") {
  LinkPacer link(ThinLink);
  base::Duration now{};
  for (int n = 0; n < 32; ++n)
    now += link.reserve(LinkPacer::PieceBytes, at(now));
  // 512 KB take 300 ms on this link, of which the allowance is sent ahead.
  CHECK(now >= 300ms - LinkPacer::Allowance);
  CHECK(now <= 330ms);
}

TEST_CASE("a small answer behind large ones finds a short queue") {
  LinkPacer link(ThinLink);
  base::Duration now{};
  base::Duration longest{};
  for (int n = 0; n < 200; ++n) {
    now += link.reserve(LinkPacer::PieceBytes, at(now));
    longest = std::max(longest, link.backlog(at(now)));
  }
  CHECK(longest <= LinkPacer::Allowance + 11ms);
}

TEST_CASE("what waits for its turn counts as pressure") {
  LinkPacer link(ThinLink);
  CHECK(link.pressurePermille(at(0s)) == 0);
  link.queued(175'000);
  CHECK(link.pressurePermille(at(0s)) >= 500);
  link.queued(1'750'000);
  CHECK(link.pressurePermille(at(0s)) == 1000);
  link.dequeued(1'925'000);
  CHECK(link.pressurePermille(at(0s)) == 0);
}

TEST_CASE(
    "answers arrive whole through a paced listener that writes in turns") {
  asio::io_context context{1};
  http::ServerLimits limits;
  limits.Link = std::make_shared<LinkPacer>(20'000'000);
  limits.WritesInTurns = true;
  base::LastReason reason;
  const std::string body(300'000, 'x');
  auto server = http::Server::create(
      context, {"127.0.0.1", 0}, limits,
      [&](http::IncomingRequest) -> asio::awaitable<http::Response> {
        co_return http::makeJsonResponse(200, body);
      },
      reason);
  REQUIRE(server);
  constexpr size_t Clients = 8;
  size_t whole = 0;
  size_t done = 0;
  for (size_t n = 0; n < Clients; ++n)
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<bool> {
          base::LastReason why;
          http::Request request(bh::verb::get, "/", 11);
          request.set("Host", "any");
          auto got =
              co_await http::fetch((*server)->address(), request, 15s, why);
          co_return got && got->body() == body;
        },
        [&](const std::exception_ptr &, bool isWhole) {
          ++done;
          whole += isWhole ? 1 : 0;
        });
  runUntil(context, [&] { return done == Clients; });
  CHECK(whole == Clients);
  CHECK(limits.Link->pressurePermille(base::SystemClock().now()) <= 1000);
}

TEST_CASE("a client that stops reading does not keep the others from theirs") {
  asio::io_context context{1};
  http::ServerLimits limits;
  limits.Link = std::make_shared<LinkPacer>(100'000'000);
  limits.WritesInTurns = true;
  base::LastReason reason;
  const std::string body(6'000'000, 'x');
  auto server = http::Server::create(
      context, {"127.0.0.1", 0}, limits,
      [&](http::IncomingRequest) -> asio::awaitable<http::Response> {
        co_return http::makeJsonResponse(200, body);
      },
      reason);
  REQUIRE(server);
  std::vector<asio::ip::tcp::socket> stopped;
  for (int n = 0; n < 3; ++n) {
    stopped.emplace_back(context);
    stopped.back().connect(
        {asio::ip::make_address("127.0.0.1"), (*server)->address().Port});
    asio::write(stopped.back(), asio::buffer(std::string(
                                    "GET / HTTP/1.1\r\nHost: any\r\n\r\n")));
  }
  http::Request request(bh::verb::get, "/", 11);
  request.set("Host", "any");
  auto got = fetchFrom(context, (*server)->address(), request);
  REQUIRE(got);
  CHECK(got->body().size() == body.size());
}

TEST_CASE("only kinds of call with large answers are expected on the link") {
  http::AnswerSizes sizes;
  const http::AnswerSizes::Kind pack{config::Rank::Standard, 500ms};
  const http::AnswerSizes::Kind peek{config::Rank::Standard, 100ms};
  CHECK(sizes.expected(pack) == 0);
  for (int n = 0; n < 100; ++n) {
    sizes.observed(pack, n % 2 == 0 ? 60'000 : 120'000);
    sizes.observed(peek, 400);
  }
  CHECK(sizes.expected(pack) >= 80'000);
  CHECK(sizes.expected(pack) <= 100'000);
  CHECK(sizes.expected(peek) == 0);
  LinkPacer link(ThinLink);
  link.expect(175'000);
  CHECK(link.timeUntilSent(175'000, at(0s)) >= 200ms);
  link.unexpect(175'000);
  CHECK(link.timeUntilSent(175'000, at(0s)) <= 110ms);
}
