#include <LibHttp/TwoNodes.h>

#include <doctest/doctest.h>
#include <memory>

using namespace radishcross;
using namespace radishcross::tests;
using admission::GateAnswer;

TEST_CASE("a draining proxy finishes its calls, then closes all connections") {
  TwoNodes mesh;
  mesh.HoldResponses = true;
  std::optional<http::Response> response;
  mesh.begin(response);
  runUntil(mesh.Context, [&] { return !mesh.SeenByTarget.empty(); });
  mesh.Near.Proxy->drain(std::chrono::seconds(5));
  mesh.Far.Proxy->drain(std::chrono::seconds(5));
  mesh.Clock.advance(std::chrono::seconds(4));
  mesh.Near.Proxy->tick();
  mesh.Far.Proxy->tick();
  CHECK(mesh.Far.Proxy->inFlight() > 0);
  mesh.Release = true;
  runUntil(mesh.Context, [&] { return response.has_value(); });
  CHECK(response->body() == "echo body");
  runUntil(mesh.Context, [&] {
    mesh.Far.Proxy->tick();
    return mesh.Near.Proxy->inFlight() + mesh.Far.Proxy->inFlight() == 0;
  });
  CHECK(mesh.Near.Proxy->callsAddress().Port == 0); // It listens no more.
}

TEST_CASE("a draining proxy refuses new calls but accepts nested ones") {
  TwoNodes mesh;
  auto callers = mesh.Near.Proxy->callsAddress();
  REQUIRE(fetchFrom(mesh.Context, callers, mesh.post())->result_int() == 200);
  http::Request nested = mesh.SeenByTarget.front();
  mesh.Near.Proxy->drain(std::chrono::seconds(5));
  mesh.Clock.advance(std::chrono::seconds(2));
  mesh.Near.Proxy->tick();
  auto refused = fetchFrom(mesh.Context, callers, mesh.post());
  REQUIRE(refused);
  CHECK(codeOf(*refused) == "5014");
  CHECK((*refused)[calls::OutcomeHeader] == "not-run");
  auto taken = fetchFrom(mesh.Context, callers, nested);
  REQUIRE(taken);
  CHECK(taken->result_int() == 200);
  CHECK(mesh.Near.Broker.Requests.back().ParentRank == config::Rank::Standard);
  CHECK(mesh.Near.Broker.Requests.back().Hops == 1);
}

TEST_CASE("a call forwarded without a target is run by the receiving broker") {
  TwoNodes mesh;
  mesh.Far.sendTo(mesh.Far, "far", *mesh.Far.Local);
  mesh.Near.Broker.First.What = calls::CallStep::Kind::Forward;
  auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  CHECK(response->body() == "echo body");
  REQUIRE(mesh.Far.Broker.Requests.size() == 1);
  CHECK(mesh.Far.Broker.Requests[0].FromMesh);
  CHECK(mesh.Far.Broker.Requests[0].CallId ==
        mesh.Near.Broker.Requests[0].CallId);
}

TEST_CASE("a duplicate call waits for the first and gets its stored response") {
  TwoNodes mesh;
  auto callers = mesh.Near.Proxy->callsAddress();
  mesh.Near.Broker.First.StoreAnswer = true;
  REQUIRE(fetchFrom(mesh.Context, callers, mesh.post())->body() == "echo body");
  mesh.Near.Broker.First.What = calls::CallStep::Kind::Wait;
  calls::CallStep next;
  next.What = calls::CallStep::Kind::Replay;
  for (bool isKept : {true, false}) {
    if (!isKept)
      mesh.Near.Broker.Kept = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut";
    std::optional<http::Response> response;
    mesh.begin(response);
    auto handle = mesh.Near.Broker.Handles + 1;
    runUntil(mesh.Context, [&] { return mesh.Near.Broker.Handles == handle; });
    mesh.Near.Broker.Resume(handle, next);
    runUntil(mesh.Context, [&] { return response.has_value(); });
    CHECK(response->result_int() == (isKept ? 200 : 502));
    CHECK(response->body().starts_with(isKept ? "echo body" : "{"));
  }
  CHECK(mesh.SeenByTarget.size() == 1);
}

TEST_CASE(
    "a nested call inherits from its parent and reports its failure to it") {
  TwoNodes mesh;
  mesh.Near.Local = mesh.Far.Local;
  mesh.HoldResponses = true;
  mesh.Near.Broker.First.Retry = true;
  std::optional<http::Response> response;
  mesh.begin(response);
  runUntil(mesh.Context, [&] { return !mesh.SeenByTarget.empty(); });
  mesh.Clock.advance(std::chrono::seconds(2));
  // The target behind the far node makes a nested call through that node, which
  // fails.
  http::Request nested = mesh.SeenByTarget.front();
  mesh.Far.Broker.First = calls::CallStep();
  mesh.Far.Broker.First.Code = base::ResultCode::NoRoute;
  auto below = fetchFrom(mesh.Context, mesh.Far.Proxy->callsAddress(), nested);
  REQUIRE(below);
  CHECK(codeOf(*below) == "5001");
  const calls::CallRequest &seen = mesh.Far.Broker.Requests.back();
  CHECK(seen.ParentRank == config::Rank::Standard);
  CHECK(seen.Hops == 1);
  CHECK(seen.WithinRetry);
  // The parent's node got a deadline shorter by 10 ms, so that it responds in
  // time.
  CHECK(seen.Remaining == std::chrono::milliseconds(2990));
  mesh.Release = true;
  runUntil(mesh.Context, [&] { return response.has_value(); });
  CHECK(mesh.Near.Broker.Results[0].DownstreamFailed);
  // After the call has ended, its fields no longer identify a parent or lend
  // its deadline.
  nested.set(calls::DeadlineHeader, "9000");
  fetchFrom(mesh.Context, mesh.Far.Proxy->callsAddress(), nested);
  CHECK(mesh.Far.Broker.Requests.back().Hops == 0);
}

TEST_CASE("calls in flight when the node is destroyed do not access it") {
  for (auto kind : {GateAnswer::Kind::Run, GateAnswer::Kind::Queued}) {
    auto mesh = std::make_unique<TwoNodes>();
    mesh->HoldResponses = true;
    mesh->Far.Gate.Kind = kind;
    bool ended = false;
    base::LastReason reason;
    asio::co_spawn(
        mesh->Context,
        http::fetch(mesh->Near.Proxy->callsAddress(), mesh->post(),
                    std::chrono::seconds(10), reason),
        [&](const std::exception_ptr &, std::optional<http::Response> got) {
          ended = true;
          CHECK_FALSE(got);
        });
    runUntil(mesh->Context, [&] { return !mesh->Far.Gate.Arrivals.empty(); });
    mesh->Near.Proxy.reset();
    mesh->Far.Proxy.reset();
    runUntil(mesh->Context, [&] { return ended; });
    CHECK(mesh->Near.Broker.Results.empty());
    CHECK(mesh->Far.Gate.Results.empty());
    CHECK(mesh->Near.Broker.Ended == 0);
  }
}
