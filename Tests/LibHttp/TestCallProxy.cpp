#include <LibHttp/TwoNodes.h>

#include <doctest/doctest.h>
#include <memory>
#include <thread>

using namespace radishcross;
using namespace radishcross::tests;
using admission::GateAnswer;
using calls::AttemptEnd;

TEST_CASE("a call passes both nodes and its complete response is returned") {
  TwoNodes mesh;
  auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  CHECK(response->result_int() == 200);
  CHECK(response->body() == "echo body");
  for (const auto &it : *response)
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

TEST_CASE("a call's latency objective is passed to the gate") {
  for (bool isLocal : {false, true}) {
    TwoNodes mesh;
    auto &node = isLocal ? mesh.Near : mesh.Far;
    node.Local = mesh.Far.Local;
    mesh.Near.sendTo(node, isLocal ? "near" : "far", *node.Local);
    auto callers = mesh.Near.Proxy->callsAddress();
    fetchFrom(mesh.Context, callers, mesh.post());
    mesh.Near.Broker.First.LatencyObjective = std::chrono::milliseconds(400);
    fetchFrom(mesh.Context, callers, mesh.post());
    REQUIRE(node.Gate.Arrivals.size() == 2);
    CHECK(node.Gate.Arrivals[0].LatencyObjective.count() == 0);
    CHECK(node.Gate.Arrivals[1].LatencyObjective ==
          std::chrono::milliseconds(400));
  }
}

TEST_CASE("a target behind the caller's own node is reached through its gate") {
  TwoNodes mesh;
  mesh.Near.Local = mesh.Far.Local;
  mesh.Near.Broker.First.To.Node = "near";
  auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  CHECK(response->body() == "echo body");
  CHECK(mesh.Near.Gate.Arrivals.size() == 1);
  CHECK(mesh.Far.Gate.Arrivals.empty());
}

TEST_CASE(
    "a request has the same fingerprint at both nodes and when it is resent") {
  TwoNodes mesh;
  auto callers = mesh.Near.Proxy->callsAddress();
  auto resent = mesh.post();
  resent.set("X-Request-Id", "another");
  resent.set(calls::DeadlineHeader, "700");
  resent.chunked(true);
  auto other = mesh.post();
  other.body() = "another body";
  for (const auto &request : {mesh.post(), resent, other})
    REQUIRE(fetchFrom(mesh.Context, callers, request)->result_int() == 200);
  const auto &near = mesh.Near.Broker.Requests;
  const auto &far = mesh.Far.Gate.Arrivals;
  REQUIRE(near.size() == 3);
  REQUIRE(far.size() == 3);
  for (size_t n = 0; n < far.size(); ++n)
    CHECK(far[n].Fingerprint == near[n].Fingerprint);
  CHECK(near[0].Fingerprint != 0);
  CHECK(near[1].Fingerprint == near[0].Fingerprint);
  CHECK(near[2].Fingerprint != near[0].Fingerprint);
}

TEST_CASE("a refusal by the gate is reported to the broker as not run") {
  TwoNodes mesh;
  mesh.Far.Gate.Kind = GateAnswer::Kind::Refuse;
  auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  CHECK(mesh.SeenByTarget.empty());
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::RefusedNotRun);
  CHECK(mesh.Near.Broker.Results[0].Code == base::ResultCode::Overloaded);
  CHECK((*response)[calls::OutcomeHeader] == "not-run");
  CHECK(codeOf(*response) == "5002");
}

TEST_CASE("a queued call is run or refused as the gate decides") {
  for (bool runs : {true, false}) {
    TwoNodes mesh;
    mesh.Far.Gate.Kind = GateAnswer::Kind::Queued;
    std::optional<http::Response> response;
    mesh.begin(response);
    runUntil(mesh.Context, [&] { return !mesh.Far.Gate.Arrivals.empty(); });
    GateAnswer turn;
    turn.What = runs ? GateAnswer::Kind::Run : GateAnswer::Kind::Refuse;
    turn.Call = mesh.Far.Gate.Tickets;
    turn.Code = base::ResultCode::DeadlineExceeded;
    mesh.Far.Gate.AtTick = {turn};
    mesh.Far.Proxy->tick();
    runUntil(mesh.Context, [&] { return response.has_value(); });
    CHECK(response->result_int() == (runs ? 200 : 503));
    CHECK(mesh.SeenByTarget.size() == (runs ? 1 : 0));
  }
}

TEST_CASE(
    "a call whose deadline passes in the gate's queue is reported as not run") {
  TwoNodes mesh;
  mesh.Far.Gate.Kind = GateAnswer::Kind::Queued;
  mesh.Near.Broker.First.AttemptTimeout = std::chrono::milliseconds(80);
  auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  CHECK(response->result_int() == 503);
  REQUIRE(mesh.Near.Broker.Results.size() == 1);
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::RefusedNotRun);
  CHECK(mesh.Near.Broker.Results[0].Code == base::ResultCode::DeadlineExceeded);
  CHECK(mesh.Far.Gate.Abandoned == 1);
}

TEST_CASE(
    "a process that was paused reads the answers that are there before it "
    "gives up") {
  TwoNodes mesh;
  mesh.Far.Gate.Kind = GateAnswer::Kind::Queued;
  mesh.Near.Broker.First.AttemptTimeout = std::chrono::milliseconds(80);
  std::optional<http::Response> response;
  mesh.begin(response);
  runUntil(mesh.Context, [&] { return !mesh.Far.Gate.Arrivals.empty(); });
  // Meanwhile the call ends at the far gate, and then at the near node.
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  runUntil(mesh.Context, [&] { return response.has_value(); });
  CHECK(response->result_int() == 503);
  REQUIRE(mesh.Near.Broker.Results.size() == 1);
  CHECK(mesh.Near.Broker.Results[0].Code == base::ResultCode::DeadlineExceeded);
}

TEST_CASE("a status promises that a call has not run exactly where it is so") {
  using base::ResultCode;
  using calls::CallOutcome;
  auto statusOf = [](ResultCode code, CallOutcome outcome) {
    return http::makeErrorResponse(code, outcome, {}).result_int();
  };
  CHECK(statusOf(ResultCode::DeadlineExceeded, CallOutcome::NotRun) == 503);
  CHECK(statusOf(ResultCode::CallOutcomeUnknown, CallOutcome::NotRun) == 503);
  CHECK(statusOf(ResultCode::NoTarget, CallOutcome::Unknown) == 502);
  CHECK(statusOf(ResultCode::DeadlineExceeded, CallOutcome::Unknown) == 502);
  CHECK(statusOf(ResultCode::NoRoute, CallOutcome::NotRun) == 404);
  CHECK(statusOf(ResultCode::OutcomeUnknown, CallOutcome::Unknown) == 504);
}

TEST_CASE("a node that has not recovered and a mesh call without proof are "
          "refused as not run") {
  TwoNodes mesh;
  mesh.Near.Snapshot = nullptr;
  auto early =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(early);
  CHECK(codeOf(*early) == "4005");
  CHECK((*early)["Retry-After"] == "1");
  http::Request forged = mesh.post();
  forged.set(calls::MeshHeader,
             std::string(64, '0') + " id standard 1000 0 1 badges/pay t1");
  auto response =
      fetchFrom(mesh.Context, mesh.Far.Proxy->meshAddress(), forged);
  REQUIRE(response);
  CHECK(response->result_int() == 403);
  CHECK(mesh.Far.Gate.Arrivals.empty());
}

TEST_CASE("a truncated or badly framed response has outcome unknown and is "
          "never forwarded") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &raw : std::initializer_list<std::string>{
           "",
           "HTTP/1.1 200 OK\r\nContent-Le",
           "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
           ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
           ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
           "HTTP/0.9 200 OK\r\n\r\nabc",
           "HTTP/2.0 200 OK\r\n\r\nabc",
           "HTTP/1.1 200\r\n\r\nabc",
           "HTTP/1.1 20 OK\r\n\r\nabc",
           "HTTP/1.1 2000 OK\r\n\r\nabc",
           "HTTP/1.1 101 Switching Protocols\r\n\r\nabc",
           "HTTP/1.1 100 Continue\r\n\r\n",
           "HTTP/1.1 200 " + std::string(40'000, 'x') + "\r\n\r\nabc",
           "200 OK\r\n\r\nabc",
           "\r\n" + ok + "\r\nabc",
           "<html>abc</html>",
           "HTTP/1.1 200 OK\n\nabc",
           "HTTP/1.1 200 OK\r\n\nabc",
           ok + "A: b\n\r\n\r\nabc",
           ok + "A: b\rC: d\r\n\r\nabc",
           ok + std::string("A: \0\r\n\r\nabc", 11),
           ok + "A: b\r\n c\r\n\r\nabc",
           ok + "Content-Length: 1\r\n 0\r\n\r\n0123456789",
           ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
           ok + "Content-Length: 3, 3\r\n\r\nabc",
           ok + "Content-Length: +3\r\n\r\nabc",
           ok + "Content-Length: -3\r\n\r\nabc",
           ok + "Content-Length: 0x3\r\n\r\nabc",
           ok + "Content-Length:\r\n\r\nabc",
           ok + "Content-Length : 3\r\n\r\nabc",
           ok + "Content-Length: 18446744073709551619\r\n\r\nabc",
           ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
           ok + "Transfer-Encoding: identity\r\n\r\nabc",
           ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                "chunked\r\n\r\n0\r\n\r\n",
           "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           chunked + "3x\r\nabc\r\n0\r\n\r\n",
           chunked + "\r\n0\r\n\r\n",
           chunked + "-1\r\nabc\r\n0\r\n\r\n",
           chunked + "fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
           chunked + "2\r\nabc\r\n0\r\n\r\n",
           chunked + "3\nabc\n0\n\n",
           chunked + "3\r\nabc\r\n0\r\n",
           chunked + "3\r\nabc\r\n0;a=\"\r\n\r\n",
           chunked + "3\r\nabc\r\n0\r\nA b\r\n\r\n",
       }) {
    CAPTURE(raw);
    TwoNodes mesh;
    RawServer target(mesh.Context, raw);
    mesh.route(target.address());
    auto response =
        fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
    REQUIRE(response);
    CHECK(target.Accepted == 1);
    CHECK(response->result_int() == 502);
    CHECK((*response)[calls::OutcomeHeader] == "unknown");
    CHECK(mesh.Far.Gate.Results[0].End == AttemptEnd::Broken);
    CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::Broken);
  }
}

TEST_CASE("an unreachable node is reported as not sent") {
  TwoNodes mesh;
  ClosedPort closed(mesh.Context);
  mesh.Near.Broker.First.To.Mesh = closed.address();
  auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::NotSent);
  CHECK((*response)[calls::OutcomeHeader] == "not-run");
}

TEST_CASE("connections are reused unless the server closed them meanwhile") {
  TwoNodes mesh;
  auto callers = mesh.Near.Proxy->callsAddress();
  for (int i = 0; i < 3; ++i)
    REQUIRE(fetchFrom(mesh.Context, callers, mesh.post())->result_int() == 200);
  CHECK(mesh.Target->connections() == 1);
  auto address = mesh.Target->address();
  mesh.Target = nullptr;
  mesh.startTarget(address);
  CHECK(fetchFrom(mesh.Context, callers, mesh.post())->result_int() == 200);
  CHECK(mesh.Far.Gate.Results.back().End == AttemptEnd::Answered);
  CHECK(mesh.Target->connections() == 1);
}

TEST_CASE("a caller that goes away ends its call at the target") {
  for (bool queued : {false, true}) {
    TwoNodes mesh;
    mesh.HoldResponses = true;
    if (queued)
      mesh.Far.Gate.Kind = GateAnswer::Kind::Queued;
    asio::ip::tcp::socket caller(mesh.Context);
    auto address = mesh.Near.Proxy->callsAddress();
    caller.connect({asio::ip::make_address(address.Host), address.Port});
    asio::write(caller,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    runUntil(mesh.Context, [&] {
      return queued ? !mesh.Far.Gate.Arrivals.empty()
                    : !mesh.SeenByTarget.empty();
    });
    caller.close();
    if (queued) {
      runUntil(mesh.Context, [&] { return mesh.Far.Gate.Abandoned == 1; });
      CHECK(mesh.SeenByTarget.empty());
    } else {
      runUntil(mesh.Context, [&] { return mesh.DisconnectedAtTarget == 1; });
      CHECK(mesh.Far.Gate.Results[0].End == AttemptEnd::CallerGone);
    }
    runUntil(mesh.Context, [&] { return mesh.Near.Broker.Ended == 1; });
    CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::CallerGone);
    // An abandoned connection is never reused for another call.
    mesh.HoldResponses = false;
    mesh.Far.Gate.Kind = GateAnswer::Kind::Run;
    CHECK(fetchFrom(mesh.Context, address, mesh.post())->body() == "echo body");
  }
}

TEST_CASE(
    "a target's timeout ends the attempt and drops its idle connections") {
  TwoNodes mesh;
  auto callers = mesh.Near.Proxy->callsAddress();
  REQUIRE(fetchFrom(mesh.Context, callers, mesh.post())->result_int() == 200);
  mesh.HoldResponses = true;
  mesh.Near.Broker.First.AttemptTimeout = std::chrono::milliseconds(20);
  auto response = fetchFrom(mesh.Context, callers, mesh.post());
  REQUIRE(response);
  CHECK((*response)[calls::OutcomeHeader] == "unknown");
  CHECK(mesh.Near.Broker.Results.back().End == AttemptEnd::TimedOut);
  mesh.HoldResponses = false;
  mesh.Near.Broker.First.AttemptTimeout = std::chrono::seconds(5);
  CHECK(fetchFrom(mesh.Context, callers, mesh.post())->body() == "echo body");
  runUntil(mesh.Context, [&] { return mesh.DisconnectedAtTarget == 1; });
}

TEST_CASE(
    "a hedge runs concurrently, and its response cancels the first attempt") {
  TwoNodes mesh;
  mesh.HoldResponses = true;
  auto &broker = mesh.Near.Broker;
  auto second = broker.First;
  second.Attempt = 2;
  broker.First.HedgeAfter = std::chrono::seconds(1);
  std::optional<http::Response> response;
  mesh.begin(response);
  runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 1; });
  CHECK(mesh.Far.Gate.Arrivals[0].Remaining > std::chrono::seconds(4));
  mesh.Clock.advance(std::chrono::seconds(1));
  mesh.Near.Proxy->tick();
  CHECK(broker.HedgesAsked == 1);
  CHECK(broker.Results.empty());
  // The first target holds its request, and another server responds to the
  // hedge.
  RawServer quick(mesh.Context,
                  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquick");
  mesh.Far.Local->Where = quick.address();
  broker.Second = second;
  mesh.Clock.advance(std::chrono::seconds(1));
  mesh.Near.Proxy->tick();
  runUntil(mesh.Context, [&] { return response.has_value(); });
  CHECK(response->body() == "quick");
  REQUIRE(broker.Results.size() == 1);
  CHECK(broker.Results[0].End == AttemptEnd::Answered);
  CHECK(broker.Results[0].Attempt == 2);
  runUntil(mesh.Context, [&] { return mesh.DisconnectedAtTarget == 1; });
}

TEST_CASE("a client's disconnect cancels both attempts of its call") {
  TwoNodes mesh;
  mesh.HoldResponses = true;
  auto &broker = mesh.Near.Broker;
  broker.Second = broker.First;
  broker.Second->Attempt = 2;
  broker.First.HedgeAfter = std::chrono::seconds(1);
  {
    asio::ip::tcp::socket client(mesh.Context);
    auto address = mesh.Near.Proxy->callsAddress();
    client.connect({asio::ip::make_address(address.Host), address.Port});
    std::string text = "GET /pay HTTP/1.1\r\nHost: badges.example\r\n\r\n";
    asio::write(client, asio::buffer(text));
    runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 1; });
    mesh.Clock.advance(std::chrono::seconds(1));
    mesh.Near.Proxy->tick();
    runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 2; });
  }
  runUntil(mesh.Context, [&] { return mesh.DisconnectedAtTarget == 2; });
  runUntil(mesh.Context, [&] { return broker.Ended == 1; });
}

TEST_CASE("a target's own refusal is not run; its plain 503 is its answer") {
  for (bool says : {true, false}) {
    TwoNodes mesh;
    RawServer target(mesh.Context,
                     std::string("HTTP/1.1 503 Busy\r\nContent-Length: "
                                 "0\r\n") +
                         (says ? "X-Radishcross-Outcome: not-run\r\n" : "") +
                         "\r\n");
    mesh.route(target.address());
    auto response =
        fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
    REQUIRE(response);
    CHECK(response->result_int() == 503);
    CHECK(mesh.Near.Broker.Results[0].End ==
          (says ? AttemptEnd::RefusedNotRun : AttemptEnd::Answered));
    CHECK(response->count(calls::OutcomeHeader) == (says ? 1 : 0));
  }
}

TEST_CASE("answers keep their meaning on the next connection") {
  struct Row {
    const char *Raw;
    bh::verb Method;
    unsigned Status;
    const char *Length;
    const char *Body;
  };
  const Row rows[] = {
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: "
       "X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
       bh::verb::get, 200, "3", "abc"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
       "2\r\n\r\nok",
       bh::verb::post, 200, "2", "ok"},
      {"HTTP/1.1 204 No Content\r\n\r\n", bh::verb::get, 204, "", ""},
      {"HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", bh::verb::get, 304,
       "", ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", bh::verb::head, 200, "7",
       ""},
      {"HTTP/1.1 200 OK\r\n\r\nuntil the end", bh::verb::get, 200, "13",
       "until the end"},
      {"HTTP/1.0 200 OK\r\n\r\nold", bh::verb::get, 200, "3", "old"},
      {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nConnection: X-P\r\nX-P: "
       "1\r\n\r\nok",
       bh::verb::get, 200, "2", "ok"},
  };
  for (const Row &row : rows) {
    CAPTURE(row.Raw);
    TwoNodes mesh;
    RawServer target(mesh.Context, row.Raw);
    mesh.route(target.address());
    auto response = fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(),
                              {row.Method, "/", 11});
    REQUIRE(response);
    CHECK(response->result_int() == row.Status);
    CHECK((*response)["Content-Length"] == row.Length);
    CHECK(response->body() == row.Body);
    CHECK(response->count("X-P") == 0);
  }
}

TEST_CASE("a hedge of a late call does not wait at the target's gate") {
  for (bool isLate : {true, false}) {
    CAPTURE(isLate);
    TwoNodes mesh;
    mesh.Far.Gate.Kind = admission::GateAnswer::Kind::Queued;
    auto &broker = mesh.Near.Broker;
    broker.First.Retry = true;
    broker.First.Hedge =
        isLate ? calls::HedgeCause::Late : calls::HedgeCause::Silent;
    std::optional<http::Response> response;
    mesh.begin(response);
    runUntil(mesh.Context, [&] {
      return response.has_value() ||
             (!isLate && !mesh.Far.Gate.Arrivals.empty());
    });
    CHECK(response.has_value() == isLate);
    CHECK(mesh.Far.Gate.Abandoned == (isLate ? 1 : 0));
    if (isLate) {
      REQUIRE(broker.Results.size() == 1);
      CHECK(broker.Results[0].End == calls::AttemptEnd::RefusedNotRun);
      CHECK(broker.Results[0].Code == base::ResultCode::Overloaded);
    }
  }
}
