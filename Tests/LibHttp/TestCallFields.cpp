#include <LibHttp/TwoNodes.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tests;
using calls::AttemptEnd;

namespace {

const calls::CallHeaders Names;

} // namespace

TEST_CASE("a target learns the service that calls, whatever the caller says") {
  for (const char *service : {"badges", ""}) {
    TwoNodes mesh;
    mesh.Near.Proxy->setNames(Names, service);
    http::Request request = mesh.post();
    request.set(Names.CallerService, "forged");
    REQUIRE(fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), request));
    REQUIRE(mesh.SeenByTarget.size() == 1);
    const http::Request &seen = mesh.SeenByTarget.front();
    CHECK(seen.count(Names.CallerService) == (*service ? 1 : 0));
    CHECK(seen[Names.CallerService] == service);
  }
}

TEST_CASE("a target learns which one is meant, whatever the caller says") {
  TwoNodes mesh;
  http::Request request = mesh.post();
  request.set(Names.ExpectedTarget, "forged");
  REQUIRE(fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), request));
  REQUIRE(mesh.SeenByTarget.size() == 1);
  const http::Request &seen = mesh.SeenByTarget.front();
  CHECK(seen.count(Names.ExpectedTarget) == 1);
  CHECK(seen[Names.ExpectedTarget] == "t1");
}

TEST_CASE("another target at the address refuses, and nothing has run") {
  TwoNodes mesh;
  RawServer other(mesh.Context, "HTTP/1.1 421 Misdirected Request\r\n"
                                "Content-Length: 0\r\n\r\n");
  mesh.route(other.address());
  auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  REQUIRE(mesh.Near.Broker.Results.size() == 1);
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::RefusedNotRun);
  CHECK(mesh.Near.Broker.Results[0].Code == base::ResultCode::TargetRefused);
  CHECK((*response)[calls::OutcomeHeader] == "not-run");
}

TEST_CASE("a target gets what is left of the deadline, not the caller's word") {
  TwoNodes mesh;
  mesh.Near.Broker.First.Remaining = std::chrono::milliseconds(800);
  http::Request request = mesh.post();
  request.set(Names.Deadline, "60000");
  REQUIRE(fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), request));
  CHECK(mesh.Near.Broker.Requests.front().Remaining ==
        std::chrono::seconds(60));
  REQUIRE(mesh.Far.Gate.Arrivals.size() == 1);
  CHECK(mesh.Far.Gate.Arrivals[0].Remaining <= std::chrono::milliseconds(800));
  REQUIRE(mesh.SeenByTarget.size() == 1);
  CHECK(mesh.SeenByTarget.front().count(Names.Deadline) == 1);
  CHECK(std::stoi(std::string(mesh.SeenByTarget.front()[Names.Deadline])) <=
        800);
}
