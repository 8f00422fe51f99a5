#include <LibNode/TenantMesh.h>

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

using namespace radishcross;

TEST_CASE("a node tells what it would answer a tenant, and takes no token") {
  test::StoreMesh mesh;
  mesh.Settings.resize(1);
  mesh.ContentOf = [](uint64_t) { return test::contentWithTenant(50); };
  mesh.publish("1");
  mesh.startAll();
  const auto &node = mesh.Nodes.at("a-1");
  admin::RouteQuestion question;
  question.Path = "/nowhere";
  REQUIRE(mesh.runUntil([&] { return node->ready(); }));
  CHECK(node->route(question).at("refused").at("status") == 404);
  question.Path = "/quotes/1";
  CHECK(node->route(question).at("refused").at("status") == 401);
  question.Tenant = "acme";
  const auto before = node->allotments();
  const auto report = node->route(question);
  // There is no target.
  CHECK(report.at("refused").at("status") == 503);
  CHECK(report.at("route").at("name") == "quotes");
  CHECK(report.at("tenant").at("allotment").at("rate_per_second") == 50);
  CHECK(node->allotments() == before);
  CHECK(boost::json::serialize(report).find(base::sha256Hex("the key")) ==
        std::string::npos);
}
