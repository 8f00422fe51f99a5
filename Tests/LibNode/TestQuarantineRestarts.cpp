#include <LibNode/StoreMesh.h>

#include <LibBase/Hash.h>
#include <LibBase/WallClock.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t Fingerprint = 0xabc;

/// Three nodes whose store holds a quarantined request.
struct QuarantineMesh : test::StoreMesh {
  QuarantineMesh() {
    publish("3");
    const auto until = base::unixMilliseconds() + 300'000;
    Content.write(log::Topic::Departures,
                  "quarantine/" + node::encodeFingerprint(Fingerprint) + "/" +
                      node::encodeFingerprint(base::hash64("external/lookup")),
                  R"({"service":"external/lookup","node":"a-1",)"
                  R"("until_unix_ms":)" +
                      std::to_string(until) + "}");
    startAll();
    REQUIRE(runUntil([&] { return isHeldByAll(); }));
  }

  bool isHeldBy(const std::string &node) {
    return !Nodes.at(node)->quarantine().as_array().empty();
  }

  bool isHeldByAll() {
    return std::all_of(Settings.begin(), Settings.end(),
                       [&](const auto &it) { return isHeldBy(it.Node); });
  }

  bool isHeldByAny() {
    return std::any_of(Settings.begin(), Settings.end(),
                       [&](const auto &it) { return isHeldBy(it.Node); });
  }

  void refuseStoreCalls() {
    for (const auto &it : Settings)
      Behaviours[it.Node] = test::StoreBehaviour::Refuses;
  }

  void restartAll() {
    Nodes.clear();
    for (const auto &it : Settings)
      start(it.Node);
    REQUIRE(runUntil([&] { return allReady(); }));
  }
};

} // namespace

TEST_CASE("a quarantined request stays quarantined when all nodes restart") {
  // Guards against a request that crashes targets again after restarts.
  QuarantineMesh mesh;
  SUBCASE("at once") {}
  SUBCASE("in turn") {
    for (const auto &it : mesh.Settings)
      mesh.start(it.Node);
  }
  mesh.restartAll();
  CHECK(mesh.runUntil([&] { return mesh.isHeldByAll(); }, 3s));
  const auto entry =
      mesh.Nodes.at("b-1")->quarantine().as_array().at(0).as_object();
  CHECK(entry.at("service") == "external/lookup");
  CHECK(entry.at("seconds_left").to_number<int64_t>() <= 300);
}

TEST_CASE("a lifted entry comes back from no peer, and not from the store") {
  // Guards against a lift that holds at one node, or until the next restart.
  QuarantineMesh mesh;
  REQUIRE(mesh.Nodes.at("a-2")->liftQuarantine(Fingerprint));
  CHECK(mesh.runUntil([&] { return !mesh.isHeldByAny(); }, 3s));
  SUBCASE("a node starts again") { mesh.start("b-1"); }
  SUBCASE("all nodes start again") { mesh.restartAll(); }
  CHECK_FALSE(mesh.runUntil([&] { return mesh.isHeldByAny(); }, 3s));
}

TEST_CASE("a lift while the store is away outlasts what the store still has") {
  // Guards against an entry that a restarted node reads after the lift.
  QuarantineMesh mesh;
  mesh.refuseStoreCalls();
  REQUIRE(mesh.Nodes.at("a-2")->liftQuarantine(Fingerprint));
  CHECK(mesh.runUntil([&] { return !mesh.isHeldByAny(); }, 3s));
  mesh.Behaviours["b-1"] = test::StoreBehaviour::Serves;
  mesh.start("b-1");
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  // It may have read the entry before a peer has told of the lift.
  CHECK(mesh.runUntil([&] { return !mesh.isHeldByAny(); }, 5s));
  mesh.runUntil([] { return false; }, 2s);
  CHECK_FALSE(mesh.isHeldByAny());
}
