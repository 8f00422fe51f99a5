#include <LibHttp/TwoNodes.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tests;
using calls::AttemptEnd;

namespace {

const calls::CallHeaders Names;

} // namespace

TEST_CASE(
    "a target gets the calling service from its node, not from the caller") {
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

TEST_CASE(
    "a target gets the expected target id from its node, not from the caller") {
  TwoNodes mesh;
  http::Request request = mesh.post();
  request.set(Names.ExpectedTarget, "forged");
  REQUIRE(fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), request));
  REQUIRE(mesh.SeenByTarget.size() == 1);
  const http::Request &seen = mesh.SeenByTarget.front();
  CHECK(seen.count(Names.ExpectedTarget) == 1);
  CHECK(seen[Names.ExpectedTarget] == "t1");
}

TEST_CASE("a 421 response of another target at the address counts as not run") {
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

TEST_CASE("a target gets the remaining deadline, not the one that the caller "
          "stated") {
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

TEST_CASE("requests of two callers with one path and body are told apart") {
  // Guards against a quarantine that takes one caller's request for another's.
  TwoNodes mesh;
  for (const char *service : {"badges", "tills", "badges"}) {
    mesh.Near.Proxy->setNames(Names, service);
    REQUIRE(
        fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post()));
  }
  const auto &asked = mesh.Near.Broker.Requests;
  const auto &arrived = mesh.Far.Gate.Arrivals;
  REQUIRE(asked.size() == 3);
  REQUIRE(arrived.size() == 3);
  for (size_t n = 0; n < arrived.size(); ++n)
    CHECK(asked[n].Fingerprint == arrived[n].Fingerprint);
  CHECK(arrived[0].Fingerprint != arrived[1].Fingerprint);
  CHECK(arrived[0].Fingerprint == arrived[2].Fingerprint);
}
