#include <LibHttp/Mesh.h>

#include <LibCalls/CallTypes.h>
#include <LibHttp/Answers.h>

using namespace radishcross;
using namespace radishcross::tests;
using calls::AttemptEnd;
using calls::GateAnswer;

namespace {

/// Two nodes; a target that echoes is behind the second.
struct TwoNodes {
  TwoNodes() {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, {},
        [this](http::IncomingRequest in) -> asio::awaitable<http::Response> {
          SeenByTarget.push_back(in.Message);
          http::Response answer =
              http::makeJson(200, "echo " + in.Message.body());
          answer.set(calls::RankHeader, "forged by the target");
          co_return answer;
        },
        reason);
    REQUIRE(server);
    Target = *server;
    route(Target->address());
  }

  void route(const base::Address &target) {
    fleet::TargetRecord record;
    record.Service = "badges/pay";
    record.TargetId = "t1";
    record.Where = target;
    Far.Local = record;
    Near.sendTo(Far, "far", record);
  }

  http::Request post() const {
    http::Request request(bh::verb::post, "/pay?x=1", 11);
    request.body() = "body";
    request.set(calls::RankHeader, "critical");
    request.set("Connection", "close, X-Hop");
    request.set("X-Hop", "dropped");
    return request;
  }

  asio::io_context Context{1};
  base::ManualClock Clock;
  ProxyNode Near{Context, Clock, "near"};
  ProxyNode Far{Context, Clock, "far"};
  std::shared_ptr<http::Server> Target;
  std::vector<http::Request> SeenByTarget;
};

std::string codeOf(const http::Response &answer) {
  return std::string(answer[calls::CodeHeader]);
}

} // namespace

TEST_CASE("a call passes both nodes and its whole answer comes back") {
  TwoNodes mesh;
  auto answer = ask(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(answer);
  CHECK(answer->result_int() == 200);
  CHECK(answer->body() == "echo body");
  for (const auto &it : *answer)
    CHECK_FALSE(it.name_string().starts_with("X-Radishcross"));
  REQUIRE(mesh.SeenByTarget.size() == 1);
  const http::Request &seen = mesh.SeenByTarget.front();
  CHECK(seen.target() == "/pay?x=1");
  CHECK(seen[calls::RankHeader] == "standard");
  CHECK(seen.count("X-Hop") == 0);
  REQUIRE(mesh.Far.Gate.Arrivals.size() == 1);
  CHECK(mesh.Far.Gate.Arrivals[0].ServiceName == "badges/pay");
  CHECK(mesh.Far.Gate.Arrivals[0].CallRank == config::Rank::Standard);
  CHECK(mesh.Near.Broker.Results[0].PressurePermille == 250);
  CHECK(mesh.Near.Broker.Requests[0].Fingerprint ==
        mesh.Far.Gate.Arrivals[0].Fingerprint);
  CHECK(mesh.Near.Broker.Ended == 1);
  CHECK(mesh.Near.Counters.counter(
            R"(calls_total{rank="standard",outcome="answered"})") == 1);
}

TEST_CASE("a target behind the caller's own node is reached through its gate") {
  TwoNodes mesh;
  mesh.Near.Local = mesh.Far.Local;
  mesh.Near.Broker.First.To.Node = "near";
  auto answer = ask(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(answer);
  CHECK(answer->body() == "echo body");
  CHECK(mesh.Near.Gate.Arrivals.size() == 1);
  CHECK(mesh.Far.Gate.Arrivals.empty());
}

TEST_CASE("a refusal of the gate reaches the broker as not run") {
  TwoNodes mesh;
  mesh.Far.Gate.Kind = GateAnswer::Kind::Refuse;
  auto answer = ask(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(answer);
  CHECK(mesh.SeenByTarget.empty());
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::RefusedNotRun);
  CHECK(mesh.Near.Broker.Results[0].Code == base::ResultCode::Overloaded);
  CHECK((*answer)[calls::OutcomeHeader] == "not-run");
  CHECK(codeOf(*answer) == "5002");
}

TEST_CASE("a queued call runs when the gate lets it, or is refused") {
  for (bool runs : {true, false}) {
    TwoNodes mesh;
    mesh.Far.Gate.Kind = GateAnswer::Kind::Queued;
    std::optional<http::Response> answer;
    base::LastReason reason;
    asio::co_spawn(
        mesh.Context,
        http::fetch(mesh.Near.Proxy->callsAddress(), mesh.post(),
                    std::chrono::seconds(10), reason),
        [&](const std::exception_ptr &, std::optional<http::Response> got) {
          answer = std::move(got);
        });
    runUntil(mesh.Context, [&] { return !mesh.Far.Gate.Arrivals.empty(); });
    GateAnswer turn;
    turn.What = runs ? GateAnswer::Kind::Run : GateAnswer::Kind::Refuse;
    turn.Call = mesh.Far.Gate.Tickets;
    turn.Code = base::ResultCode::DeadlineExceeded;
    mesh.Far.Gate.AtTick = {turn};
    mesh.Far.Proxy->tick();
    runUntil(mesh.Context, [&] { return answer.has_value(); });
    CHECK(answer->result_int() == (runs ? 200 : 503));
    CHECK(mesh.SeenByTarget.size() == (runs ? 1 : 0));
  }
}

TEST_CASE("a node that has not recovered and a mesh call without proof are "
          "refused as not run") {
  TwoNodes mesh;
  mesh.Near.Snapshot = nullptr;
  auto early = ask(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(early);
  CHECK(codeOf(*early) == "4005");
  CHECK((*early)["Retry-After"] == "1");
  http::Request forged = mesh.post();
  forged.set(calls::TargetHeader, "t1");
  forged.set(calls::ProofHeader, std::string(64, '0'));
  auto answer = ask(mesh.Context, mesh.Far.Proxy->meshAddress(), forged);
  REQUIRE(answer);
  CHECK(answer->result_int() == 403);
  CHECK(mesh.Far.Gate.Arrivals.empty());
}

TEST_CASE("an answer that is cut or cannot be framed is unknown, never short") {
  for (const char *raw : {
           "",
           "HTTP/1.1 200 OK\r\nContent-Le",
           "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
           "HTTP/1.1 200 OK\r\n\r\nuntil the end",
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: "
           "3\r\n\r\nabc",
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: "
           "chunked\r\n\r\nabc",
       }) {
    CAPTURE(raw);
    TwoNodes mesh;
    RawServer target(mesh.Context, raw);
    mesh.route(target.address());
    auto answer =
        ask(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
    REQUIRE(answer);
    CHECK(target.Accepted == 1);
    CHECK(answer->result_int() == 502);
    CHECK((*answer)[calls::OutcomeHeader] == "unknown");
    CHECK(mesh.Far.Gate.Results[0].End == AttemptEnd::Broken);
    CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::Broken);
  }
}

TEST_CASE("a node that cannot be reached was sent nothing") {
  TwoNodes mesh;
  asio::ip::tcp::acceptor taken(mesh.Context,
                                {asio::ip::make_address("127.0.0.1"), 0});
  mesh.Near.Broker.First.To.Mesh.Port = taken.local_endpoint().port();
  taken.close();
  auto answer = ask(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(answer);
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::NotSent);
  CHECK((*answer)[calls::OutcomeHeader] == "not-run");
}
