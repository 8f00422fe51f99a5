#include <LibHttp/Client.h>
#include <LibNode/StoreMesh.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t Started = 1'764'824'231'000;

/// A mesh with one target beside the node "a-1", which has reported to be ready
/// and is known to all nodes.
struct TargetMesh : test::StoreMesh {
  TargetMesh() {
    publish("3");
    startAll();
    report("ready", 1);
    REQUIRE(runUntil([&] { return isReadyAt("b-1"); }));
  }

  unsigned post(const std::string &path, std::string body) {
    http::Request request(boost::beast::http::verb::post,
                          "/v1/targets/t1/" + path, 11);
    request.body() = std::move(body);
    request.prepare_payload();
    unsigned status = 0;
    bool isDone = false;
    boost::asio::co_spawn(
        Context,
        [&]() -> boost::asio::awaitable<void> {
          base::LastReason reason;
          auto answer = co_await http::fetch(Settings.front().Targets, request,
                                             5s, reason);
          status = answer ? answer->result_int() : 0;
          isDone = true;
        },
        boost::asio::detached);
    REQUIRE(runUntil([&] { return isDone; }));
    return status;
  }

  unsigned report(const std::string &state, int sequence,
                  uint64_t started = Started) {
    return post("heartbeat",
                R"({"service":"lookup","address":"127.0.0.1:9","slots":9,)"
                R"("state":")" +
                    state + R"(","sequence":)" + std::to_string(sequence) +
                    R"(,"started_unix_ms":)" + std::to_string(started) + "}");
  }

  bool isReadyAt(const std::string &observer) {
    for (const auto &node : Nodes.at(observer)->members())
      for (const auto &it : node.Targets)
        if (it.State == fleet::TargetState::Ready)
          return true;
    return false;
  }

  bool isReadyAnywhere() {
    return std::any_of(Nodes.begin(), Nodes.end(),
                       [&](const auto &it) { return isReadyAt(it.first); });
  }

  void refuseStoreCalls() {
    for (const auto &it : Settings)
      Behaviours[it.Node] = test::StoreBehaviour::Refuses;
  }

  void restartAll() {
    Nodes.clear();
    for (const auto &it : Settings)
      start(it.Node);
  }

  /// Checks that a late heartbeat does not make the target ready again, but
  /// that another process of it is.
  void checkDeparted() {
    REQUIRE(runUntil([&] { return allReady(); }));
    CHECK(report("ready", 2) == 200);
    CHECK_FALSE(runUntil([&] { return isReadyAnywhere(); }, 1500ms));
    CHECK(report("ready", 1, Started + 5000) == 200);
    CHECK(runUntil([&] { return isReadyAt("a-1") && isReadyAt("b-1"); }));
  }
};

} // namespace

TEST_CASE("a late heartbeat revives no target that left before its node "
          "restarted") {
  // Guards against an acknowledged leave that a restart of the node forgets.
  TargetMesh mesh;
  SUBCASE("leave") { CHECK(mesh.post("leave", "") == 200); }
  SUBCASE("draining") { CHECK(mesh.report("draining", 3) == 200); }
  mesh.start("a-1");
  mesh.checkDeparted();
}

TEST_CASE("a late heartbeat revives no target that left before all nodes "
          "restarted") {
  // Guards against a leave that is acknowledged before the store holds it.
  TargetMesh mesh;
  CHECK(mesh.post("leave", "") == 200);
  mesh.restartAll();
  mesh.checkDeparted();
}

TEST_CASE("a late heartbeat revives no target that left while the store was "
          "away") {
  // Guards against departures that only the store remembers.
  TargetMesh mesh;
  mesh.refuseStoreCalls();
  CHECK(mesh.post("leave", "") == 200);
  mesh.start("a-1");
  mesh.checkDeparted();
}

TEST_CASE("a departure survives several restarts of its node") {
  // Guards against a second process that passes on less than it has recalled.
  TargetMesh mesh;
  CHECK(mesh.post("leave", "") == 200);
  mesh.start("a-1");
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  mesh.refuseStoreCalls();
  mesh.start("a-1");
  mesh.checkDeparted();
}

TEST_CASE("a target that did not leave is ready again after its node "
          "restarted") {
  TargetMesh mesh;
  SUBCASE("with the store") {}
  SUBCASE("without the store") { mesh.refuseStoreCalls(); }
  mesh.start("a-1");
  CHECK(mesh.report("ready", 2) == 200);
  CHECK(mesh.runUntil([&] { return mesh.isReadyAt("b-1"); }, 4s));
}
