#include <FreeAddress.h>

#include <LibPeer/Frame.h>
#include <LibPeer/PullClient.h>
#include <LibPeer/PullServer.h>

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace radishcross;
using namespace radishcross::peer;
using namespace std::chrono_literals;

namespace {

/// A pull server with a client, and the counters of both.
struct PullFixture {
  boost::asio::io_context Context{1};
  std::optional<base::Metrics> Counters{std::in_place};
  base::Address Where = test::freeAddress();
  int Served = 0;
  std::shared_ptr<PullServer> Server;
  std::shared_ptr<PullClient> Client;
  bool Ended = false;

  PullFixture() {
    base::LastReason reason;
    auto server = PullServer::create(
        Context, Where, MeshAuthenticator({}, true), bytes(), *Counters,
        [this](const PullRequest &) {
          ++Served;
          return PullAnswer{};
        },
        reason);
    REQUIRE_MESSAGE(server, reason.text());
    Server = *server;
    Client = std::make_shared<PullClient>(Context, MeshAuthenticator({}, true),
                                          bytes());
  }

  ControlByteCounters bytes() {
    return {&Counters->counter("sent"), &Counters->counter("received")};
  }

  void pull() {
    PullRequest request;
    request.Sender = "n1";
    request.Kind = PullKind::Members;
    Client->pull(Where, request,
                 [this](const std::optional<PullAnswer> &) { Ended = true; });
  }
};

} // namespace

TEST_CASE("a pull is served") {
  PullFixture it;
  it.pull();
  for (int n = 0; n < 200 && !it.Ended; ++n)
    it.Context.run_one_for(100ms);
  CHECK(it.Ended);
  CHECK(it.Served == 1);
}

TEST_CASE(
    "a pull in flight does not use the counters of a closed server's owner") {
  PullFixture it;
  // The connection is accepted, but its request has not been read.
  boost::asio::ip::tcp::socket caller(it.Context);
  caller.connect({boost::asio::ip::make_address(it.Where.Host), it.Where.Port});
  for (int n = 0; n < 20; ++n)
    it.Context.run_one_for(10ms);
  it.Server->close();
  it.Counters.reset();
  PullRequest request;
  request.Sender = "n1";
  request.Kind = PullKind::Members;
  auto body = MeshAuthenticator({}, true).seal(encodePullRequest(request));
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8)
    frame += static_cast<char>(body.size() >> shift & 0xffU);
  frame += body;
  boost::asio::write(caller, boost::asio::buffer(frame));
  for (int n = 0; n < 20; ++n)
    it.Context.run_one_for(10ms);
  CHECK(it.Served == 0);
}
