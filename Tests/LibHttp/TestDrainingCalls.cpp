#include <LibHttp/TwoNodes.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;
using calls::AttemptEnd;

namespace {

/// Time limit of a drain in these tests. Calls have 5 s of it, as the last
/// connections may be idle for one second.
constexpr base::Duration DrainLimit = 6s;

/// Advances the clock of a draining node.
void advanceTime(TwoNodes &mesh, ProxyNode &node, base::Duration time) {
  mesh.Clock.advance(time);
  node.Proxy->tick();
}

std::optional<http::Response> fetchWithDeadline(TwoNodes &mesh,
                                                base::Duration deadline) {
  auto request = mesh.post();
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
  request.set(calls::DeadlineHeader, std::to_string(ms.count()));
  return fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(),
                   std::move(request));
}

} // namespace

TEST_CASE("a draining node accepts unauthenticated calls only if they end "
          "before it shuts down") {
  TwoNodes mesh;
  mesh.Near.Proxy->drain(DrainLimit);
  advanceTime(mesh, mesh.Near, 2s);
  auto taken = fetchWithDeadline(mesh, 800ms);
  REQUIRE(taken);
  CHECK(taken->result_int() == 200);
  auto late = fetchWithDeadline(mesh, 3100ms);
  REQUIRE(late);
  CHECK(codeOf(*late) == "5014");
  CHECK((*late)[calls::OutcomeHeader] == "not-run");
  advanceTime(mesh, mesh.Near, 400ms);
  CHECK(codeOf(*fetchWithDeadline(mesh, 2700ms)) == "5014");
  CHECK(fetchWithDeadline(mesh, 2500ms)->result_int() == 200);
}

TEST_CASE("a draining node's gate refuses calls that may outlast the node") {
  TwoNodes mesh;
  mesh.Far.Proxy->drain(DrainLimit);
  advanceTime(mesh, mesh.Far, 1s);
  mesh.Near.Broker.First.AttemptTimeout = 4500ms;
  auto refused =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(refused);
  CHECK(mesh.SeenByTarget.empty());
  REQUIRE(mesh.Near.Broker.Results.size() == 1);
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::RefusedNotRun);
  CHECK(mesh.Near.Broker.Results[0].Code == base::ResultCode::Draining);
  mesh.Near.Broker.First.AttemptTimeout = 3500ms;
  auto taken =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(taken);
  CHECK(taken->body() == "echo body");
}

TEST_CASE("a draining node stops accepting mesh connections despite calls at "
          "its gate") {
  TwoNodes mesh;
  mesh.HoldResponses = true;
  std::optional<http::Response> response;
  mesh.begin(response);
  runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 1; });
  mesh.Far.Proxy->drain(DrainLimit);
  advanceTime(mesh, mesh.Far, 2500ms);
  CHECK(mesh.Far.Proxy->inFlight() > 0);
  mesh.Near.Broker.First.FreshConnection = true;
  fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(mesh.Near.Broker.Results.size() == 1);
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::NotSent);
  mesh.Release = true;
  runUntil(mesh.Context, [&] { return response.has_value(); });
  CHECK(response->body() == "echo body");
}

TEST_CASE("a draining node accepts its targets' nested calls while calls "
          "arrive on open mesh connections") {
  TwoNodes mesh;
  const auto calls = mesh.Far.Proxy->callsAddress();
  REQUIRE(
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post()));
  mesh.Far.Proxy->drain(DrainLimit);
  advanceTime(mesh, mesh.Far, 2500ms);
  mesh.Near.Broker.First.AttemptTimeout = 2s;
  mesh.HoldResponses = true;
  std::optional<http::Response> response;
  mesh.begin(response);
  runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 2; });
  boost::system::error_code ec;
  asio::ip::tcp::socket nested(mesh.Context);
  nested.connect({asio::ip::make_address(calls.Host), calls.Port}, ec);
  CHECK_FALSE(ec);
  mesh.Release = true;
  runUntil(mesh.Context, [&] { return response.has_value(); });
}

TEST_CASE("a draining node passes on no request behind one in progress") {
  // Guards against requests taken late whose answers wait until the node ends.
  TwoNodes mesh;
  mesh.HoldResponses = true;
  const auto calls = mesh.Near.Proxy->callsAddress();
  asio::ip::tcp::socket client(mesh.Context);
  client.connect({asio::ip::make_address(calls.Host), calls.Port});
  const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(client, asio::buffer(request));
  runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 1; });
  mesh.Near.Proxy->drain(DrainLimit);
  asio::write(client, asio::buffer(request));
  mesh.Context.restart();
  mesh.Context.run_for(50ms);
  CHECK(mesh.SeenByTarget.size() == 1);
  mesh.Release = true;
  std::string got;
  boost::system::error_code ec;
  asio::async_read(client, asio::dynamic_buffer(got),
                   [&](boost::system::error_code end, size_t) { ec = end; });
  runUntil(mesh.Context, [&] { return bool(ec); });
  CHECK(got.find("Connection: close") != std::string::npos);
  CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(mesh.SeenByTarget.size() == 1);
}

TEST_CASE("a node with little time to drain takes no call that outlasts it") {
  // Guards against calls taken late in a short grace period and cut at its end.
  TwoNodes mesh;
  mesh.Near.Proxy->drain(800ms);
  advanceTime(mesh, mesh.Near, 300ms);
  CHECK(codeOf(*fetchWithDeadline(mesh, 1s)) == "5014");
  CHECK(fetchWithDeadline(mesh, 200ms)->result_int() == 200);
}
