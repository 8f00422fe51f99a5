#include <LibLog/RecordBodies.h>
#include <LibNode/TenantMesh.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <platform/Ports.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

using Mesh = test::StoreMesh;

/// The tenant has its key up to version 3.
config::VersionContent contentWithKey(uint64_t version) {
  return test::contentWithTenant(0, version <= 3);
}

} // namespace

TEST_CASE("a version with unusual fields is in force and stays so") {
  // Guards against nodes that pass an acknowledged version over (CONFIG), also
  // when they start again without the store.
  const std::string before =
      R"({"version":3,"services":[{"name":"a","healthPath":"/health",
          "maxConnections":9},{"name":"b","healthPath":"/health",
          "maxConnections":9}],"limits":{"maxHeaderBytes":16384,
          "maxBodyBytes":1048576,"headerTimeout":3000,"idleTimeout":20000},
          "routes":[{"name":"r","host":"one.example","pathPrefix":"/x/",
          "service":"a","priority":0,"kind":"safe","timeout":1000,
          "targetLatency":400,"maxAttempts":2}]})";
  auto after = before;
  after.replace(after.find("\"version\":3"), 11, "\"version\":4");
  SUBCASE("fractional weights") {
    after.replace(after.find(R"("service":"a")"), 13,
                  R"("trafficSplit":[{"service":"a","weight":0.9},)"
                  R"({"service":"b","weight":0.1}])");
  }
  SUBCASE("a host with capital letters") {
    after.replace(after.find("one.example"), 11, "One.Example");
  }
  SUBCASE("an escaped character in a prefix") {
    after.replace(after.find("/x/"), 3, "/%78/");
  }
  SUBCASE("a route that cannot be served beside one that can") {
    after.replace(after.find("\"routes\":["), 10,
                  R"("routes":[{"name":7,"host":[],"pathPrefix":null},)");
  }
  Mesh mesh;
  mesh.Formats = platform::ports();
  mesh.publish(before);
  mesh.startAll();
  mesh.publish(after);
  const auto isInForce = [&] {
    return std::all_of(
        mesh.Settings.begin(), mesh.Settings.end(),
        [&](const auto &it) { return mesh.externalVersionAt(it.Node) == 4; });
  };
  CHECK(mesh.runUntil(isInForce, 2s));
  for (const auto &it : mesh.Settings)
    mesh.Behaviours[it.Node] = test::StoreBehaviour::Refuses;
  mesh.start("a-2");
  CHECK(mesh.runUntil([&] { return mesh.Nodes.at("a-2")->ready(); }));
  CHECK(isInForce());
}

TEST_CASE("a node whose store calls fail gets the new version from its peers") {
  using Behaviour = test::StoreBehaviour;
  for (auto behaviour : {Behaviour::Refuses, Behaviour::Silent}) {
    INFO(static_cast<int>(behaviour));
    Mesh mesh;
    mesh.publish("3");
    mesh.startAll();
    mesh.Behaviours["b-1"] = behaviour;
    mesh.publish("4");
    // The others take it within two seconds, from the store or from each other;
    // the same bound holds for the node without the store.
    CHECK(mesh.runUntil(
        [&] {
          return std::all_of(mesh.Settings.begin(), mesh.Settings.end(),
                             [&](const auto &it) {
                               return mesh.externalVersionAt(it.Node) == 4;
                             });
        },
        2s));
  }
}

TEST_CASE("a node that starts while its store calls fail gets the version from "
          "its peers") {
  Mesh mesh;
  mesh.publish("3");
  mesh.startAll();
  for (const auto &it : mesh.Settings)
    mesh.Behaviours[it.Node] = test::StoreBehaviour::Refuses;
  mesh.start("a-2");
  CHECK_FALSE(mesh.Nodes.at("a-2")->ready());
  CHECK(mesh.runUntil([&] { return mesh.Nodes.at("a-2")->ready(); }));
  CHECK(mesh.externalVersionAt("a-2") == 3);
}

TEST_CASE("nodes whose seeds are all gone discover each other through the "
          "directory") {
  Mesh mesh;
  mesh.publish("3");
  for (auto &it : mesh.Settings)
    it.Seeds = {test::freeAddress()};
  mesh.startAll();
  // A node that starts later finds them too, without further writes to the
  // directory.
  auto written = mesh.Content.Topics[log::Topic::Nodes].Records.size();
  CHECK(written == mesh.Settings.size());
  mesh.start("b-1");
  CHECK(mesh.runUntil([&] {
    return mesh.Nodes.at("b-1")->ready() &&
           mesh.Nodes.at("b-1")->members().size() == mesh.Settings.size();
  }));
  CHECK(mesh.Content.Topics[log::Topic::Nodes].Records.size() == written);
  // Membership is not recorded in the log of changes.
  CHECK(mesh.Content.Topics[log::Topic::Changes].Records.empty());
}

TEST_CASE("a new node that starts while its store calls fail joins through its "
          "seed hosts") {
  Mesh mesh;
  mesh.publish("3");
  mesh.startAll();
  for (const auto &it : mesh.Settings)
    mesh.Behaviours[it.Node] = test::StoreBehaviour::Refuses;
  // No node knows of it, and the directory cannot be read.
  mesh.addSettings("c-1");
  mesh.Settings.back().SeedHosts = {mesh.Settings.front().Gossip};
  mesh.Behaviours["c-1"] = test::StoreBehaviour::Refuses;
  mesh.start("c-1");
  CHECK(mesh.runUntil([&] { return mesh.Nodes.at("c-1")->ready(); }, 4s));
  CHECK(mesh.externalVersionAt("c-1") == 3);
}

TEST_CASE(
    "changes that a snapshot covers are dropped from the store, and nodes "
    "that start later still have them") {
  Mesh mesh;
  mesh.publish("3");
  constexpr int Changes = 1100;
  for (int n = 0; n < Changes; ++n) {
    auto id = std::to_string(n);
    auto record = log::makeDrain(id, {"team", "actor", ""}, {"vm:" + id, true});
    mesh.Content.write(log::Topic::Changes, id, log::encodeRecord(record));
  }
  mesh.startAll();
  auto &changes = mesh.Content.Topics[log::Topic::Changes];
  auto kept = [&] {
    std::map<std::string, bool> newest;
    for (const auto &it : changes.Records)
      newest[it.Key] = !it.Value.empty();
    return std::count_if(newest.begin(), newest.end(),
                         [](const auto &it) { return it.second; });
  };
  REQUIRE(mesh.runUntil([&] { return kept() < 100; }, 30s));
  mesh.Content.forgetHistory();
  auto hasAll = [&](const std::string &id) {
    const auto &node = *mesh.Nodes.at(id);
    return node.ready() && node.fold().drained().size() == Changes;
  };
  mesh.start("b-1");
  CHECK(mesh.runUntil([&] { return hasAll("b-1"); }));
  // Restarts all nodes: there is only the snapshot, and no peer to confirm it.
  mesh.Nodes.clear();
  for (const auto &it : mesh.Settings)
    mesh.start(it.Node);
  CHECK(mesh.runUntil(
      [&] { return hasAll("a-1") && hasAll("a-2") && hasAll("b-1"); }, 30s));
}

TEST_CASE("a lower version and an invalid one change nothing") {
  Mesh mesh;
  mesh.publish("9");
  mesh.startAll();
  mesh.publish("5");
  mesh.publish("bad");
  mesh.Content.forgetHistory();
  mesh.runUntil([] { return false; }, 500ms);
  for (const auto &it : mesh.Settings)
    CHECK(mesh.externalVersionAt(it.Node) == 9);
  CHECK(mesh.allReady());
}

TEST_CASE("after the loss of all nodes, restarted nodes serve the version in "
          "the store") {
  Mesh mesh;
  mesh.publish("3");
  mesh.startAll();
  mesh.Nodes.clear();
  mesh.publish("4");
  mesh.Content.forgetHistory();
  for (const auto &it : mesh.Settings)
    mesh.start(it.Node);
  // Recovery must complete within 15 s.
  CHECK(mesh.runUntil([&] { return mesh.allReady(); }, 15s));
  for (const auto &it : mesh.Settings)
    CHECK(mesh.externalVersionAt(it.Node) == 4);
}

TEST_CASE("a key is revoked at a node that the store turns away") {
  Mesh mesh;
  mesh.ContentOf = contentWithKey;
  mesh.publish("3");
  mesh.startAll();
  // No target is there, so a request with a valid key is refused as not run.
  CHECK(test::statusWithKey(mesh, "b-1") == 503);
  mesh.Behaviours["b-1"] = test::StoreBehaviour::Refuses;
  mesh.publish("4");
  CHECK(mesh.runUntil([&] { return mesh.externalVersionAt("b-1") == 4; }));
  CHECK(test::statusWithKey(mesh, "b-1") == 401);
  // A restarted node takes nothing back into use.
  mesh.start("b-1");
  REQUIRE(mesh.runUntil([&] { return mesh.Nodes.at("b-1")->ready(); }));
  CHECK(test::statusWithKey(mesh, "b-1") == 401);
}
