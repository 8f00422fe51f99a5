#include <LibNode/TenantMesh.h>

#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

using Mesh = test::StoreMesh;

config::VersionContent contentWithAllotment(uint64_t) {
  return test::contentWithTenant(50);
}

/// Returns whether a node grants the tenant a request before long. There is no
/// target, so such a request gets 503 where a refused one gets 429.
bool grantsSoon(Mesh &mesh, const std::string &node) {
  // Kept, since a later request may be refused again.
  bool isGranted = false;
  return mesh.runUntil([&] {
    isGranted = isGranted || test::statusWithKey(mesh, node) == 503;
    return isGranted;
  });
}

/// Returns the sum of the shares of the tenant's group that all nodes keep.
double keptShares(Mesh &mesh) {
  const auto group = std::to_string(tenants::allotmentGroupOf("acme"));
  const auto name = "allotment_share{group=\"" + group + "\"} ";
  double sum = 0;
  for (const auto &[id, node] : mesh.Nodes) {
    auto text = node->metrics().prometheusText();
    auto at = text.find(name);
    REQUIRE(at != std::string::npos);
    sum += std::stod(text.substr(at + name.size()));
  }
  return sum;
}

} // namespace

TEST_CASE("nodes lend their shares to one keeper, and each gets tokens of it") {
  Mesh mesh;
  mesh.ContentOf = contentWithAllotment;
  mesh.publish("1");
  mesh.startAll();
  // No share is lent yet, so nothing is granted.
  CHECK(test::statusWithKey(mesh, "a-1") == 429);
  REQUIRE(mesh.runUntil([&] { return keptShares(mesh) > 0.99; }));
  CHECK(keptShares(mesh) < 1.01);
  for (const char *id : {"a-1", "a-2", "b-1"}) {
    INFO(id);
    CHECK(grantsSoon(mesh, id));
  }
}

TEST_CASE("a node alone keeps the allotments for itself") {
  Mesh mesh;
  mesh.Settings.resize(1);
  mesh.ContentOf = contentWithAllotment;
  mesh.publish("1");
  mesh.startAll();
  CHECK(grantsSoon(mesh, "a-1"));
  const auto report = mesh.Nodes.at("a-1")->allotments().as_array();
  REQUIRE(report.size() == 1);
  CHECK(report[0].at("tenant") == "acme");
  CHECK(report[0].at("rate_per_second") == 50);
  CHECK(report[0].at("granted").to_number<uint64_t>() >= 1);
  CHECK(report[0].at("keeper") == "a-1");
}

TEST_CASE("the shares of a node that is gone go to another keeper") {
  Mesh mesh;
  mesh.ContentOf = contentWithAllotment;
  mesh.publish("1");
  mesh.startAll();
  REQUIRE(mesh.runUntil([&] { return keptShares(mesh) > 0.99; }));
  const auto group = std::to_string(tenants::allotmentGroupOf("acme"));
  std::string keeper;
  for (const auto &[id, node] : mesh.Nodes)
    if (node->metrics().prometheusText().find("allotment_share{group=\"" +
                                              group + "\"} 0\n") ==
        std::string::npos)
      keeper = id;
  REQUIRE_FALSE(keeper.empty());
  mesh.Nodes.erase(keeper);
  // Two of three shares are left.
  REQUIRE(mesh.runUntil([&] {
    auto sum = keptShares(mesh);
    return sum > 0.6 && sum < 0.7;
  }));
  for (const auto &[id, node] : mesh.Nodes)
    CHECK(grantsSoon(mesh, id));
}
