#include <LibHttp/Connection.h>
#include <LibHttp/Mesh.h>
#include <LibHttp/ResponseFields.h>
#include <LibHttp/Responses.h>
#include <LibHttp/WriteTurns.h>

#include <doctest/doctest.h>
#include <vector>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;
using asio::ip::tcp;
using http::LinkPacer;

namespace {

/// More than the kernel's buffers hold.
constexpr size_t LongBytes = 16UL << 20;

/// A connection that writes a long answer to a peer that reads nothing.
struct StuckWriter {
  StuckWriter(asio::io_context &context, std::shared_ptr<LinkPacer> link,
              std::shared_ptr<http::WriteTurns> turns,
              std::shared_ptr<http::MemoryLedger> ledger = nullptr)
      : Peer(context) {
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    Peer.connect(acceptor.local_endpoint());
    Own = std::make_shared<http::Connection>(acceptor.accept());
    Own->setLink(std::move(link), std::move(turns));
    Own->setLedger(std::move(ledger));
    Answer = http::makeJsonResponse(200, std::string(LongBytes, 'x'));
    asio::co_spawn(
        context,
        [this]() -> asio::awaitable<void> {
          co_await Own->write(Answer);
          IsDone = true;
        },
        asio::detached);
  }

  tcp::socket Peer;
  std::shared_ptr<http::Connection> Own;
  http::Response Answer;
  bool IsDone = false;
};

/// Three writers of which the last waits for its turn.
struct Writers {
  Writers() {
    for (size_t n = 0; n < http::WriteTurns::MaximumTurns; ++n)
      Others.push_back(std::make_unique<StuckWriter>(Context, Link, Turns));
    Last = std::make_unique<StuckWriter>(Context, Link, Turns, Ledger);
    Context.poll();
    REQUIRE(Turns->waiting() == 1);
  }

  asio::io_context Context{1};
  base::Metrics Counters;
  std::shared_ptr<http::MemoryLedger> Ledger =
      std::make_shared<http::MemoryLedger>(http::MemoryLimits{64UL << 20},
                                           Counters);
  std::shared_ptr<LinkPacer> Link = std::make_shared<LinkPacer>(1'000'000'000);
  std::shared_ptr<http::WriteTurns> Turns =
      std::make_shared<http::WriteTurns>(Context.get_executor(), Link);
  std::vector<std::unique_ptr<StuckWriter>> Others;
  std::unique_ptr<StuckWriter> Last;
};

} // namespace

TEST_CASE_FIXTURE(Writers, "closing a connection ends its wait for a turn") {
  Last->Own->close();
  Context.poll();
  CHECK(Last->IsDone);
  CHECK(Turns->waiting() == 0);
}

TEST_CASE_FIXTURE(Writers, "the deadline of a connection ends its wait for a "
                           "turn") {
  Last->Own->expireAfter(0s);
  Context.run_for(50ms);
  CHECK(Last->IsDone);
  CHECK(Turns->waiting() == 0);
}

TEST_CASE_FIXTURE(Writers, "an answer that gives way while it waits for its "
                           "turn is freed at once") {
  CHECK(Ledger->held() >= LongBytes);
  http::MemoryHold running(Ledger, http::HoldKind::Arriving, {});
  CHECK(running.claim(48UL << 20));
  Context.poll();
  CHECK(Last->IsDone);
  CHECK(Turns->waiting() == 0);
}

TEST_CASE("closing a connection ends its wait for the link") {
  asio::io_context context{1};
  auto link = std::make_shared<LinkPacer>(100'000);
  StuckWriter writer(context, link, nullptr);
  context.poll();
  REQUIRE_FALSE(writer.IsDone);
  writer.Own->close();
  context.poll();
  CHECK(writer.IsDone);
}

TEST_CASE("a pressure beyond the whole counts as the whole") {
  for (const char *text : {"1001", "4294967295", "1000000 nested"}) {
    http::Response response = http::makeJsonResponse(200, "{}");
    response.set(calls::PressureHeader, text);
    calls::AttemptResult result;
    http::readAttemptResult(response, result);
    CHECK(result.PressurePermille == 1000);
  }
}
