#include <LibBase/WallClock.h>
#include <LibHttp/Client.h>
#include <LibNode/StoreMesh.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

/// A mesh with one target beside the node "a-1", which has reported to be ready
/// and is known to all nodes.
struct TargetMesh : test::StoreMesh {
  /// When the target's process has started, long before the nodes restart.
  const uint64_t Started = now() - 60'000;
  std::shared_ptr<http::Server> Target;
  /// What the target answers to a health check; it fails while it is leaving.
  boost::beast::http::status HealthStatus = boost::beast::http::status::ok;
  int HealthChecks = 0;

  TargetMesh() {
    startTarget();
    ContentOf = [](uint64_t) {
      config::VersionContent out;
      out.Services.push_back({"lookup", {}, "/health"});
      return out;
    };
    publish("3");
    for (auto &it : Settings)
      it.IsFirstStart = true;
    startAll();
    for (auto &it : Settings)
      it.IsFirstStart = false;
    report("ready", 1);
    REQUIRE(runUntil([&] { return isReadyAt("b-1"); }));
  }

  void startTarget() {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, {},
        [this](http::IncomingRequest request)
            -> boost::asio::awaitable<http::Response> {
          CHECK(request.Message.target() == "/health");
          ++HealthChecks;
          http::Response out(HealthStatus, 11);
          out.prepare_payload();
          co_return out;
        },
        reason);
    REQUIRE_MESSAGE(server, reason.text());
    Target = *server;
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

  static uint64_t now() {
    return static_cast<uint64_t>(base::unixMilliseconds());
  }

  unsigned report(const std::string &state, int sequence) {
    return report(state, sequence, Started);
  }

  unsigned report(const std::string &state, int sequence, uint64_t started) {
    return post("heartbeat",
                R"({"service":"lookup","address":")" +
                    Target->address().text() + R"(","slots":9,"state":")" +
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

  void refuseStoreCalls() { setStore(test::StoreBehaviour::Refuses); }

  void setStore(test::StoreBehaviour behaviour) {
    for (const auto &it : Settings)
      Behaviours[it.Node] = behaviour;
  }

  void restartAll() {
    Nodes.clear();
    for (const auto &it : Settings)
      start(it.Node);
  }

  /// A node without a configuration is not ready before the store is back.
  void restartAllAndStore() {
    restartAll();
    runUntil([] { return false; }, 300ms);
    setStore(test::StoreBehaviour::Serves);
    REQUIRE(runUntil([&] { return allReady(); }));
  }

  /// Checks that a late heartbeat does not make the target ready again, but
  /// that another process of it is.
  void checkDeparted() {
    REQUIRE(runUntil([&] { return allReady(); }));
    CHECK(report("ready", 2) == 200);
    CHECK_FALSE(runUntil([&] { return isReadyAnywhere(); }, 1500ms));
    CHECK(report("ready", 1, now()) == 200);
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

TEST_CASE("a late heartbeat revives no target that left while the store was "
          "away and all nodes restarted before it was back") {
  // Guards against an acknowledged leave that nobody remembers (DRAIN).
  TargetMesh mesh;
  mesh.refuseStoreCalls();
  bool restartsAgain = false;
  SUBCASE("draining") { CHECK(mesh.report("draining", 3) == 200); }
  SUBCASE("leave") { CHECK(mesh.post("leave", "") == 200); }
  SUBCASE("leave, and the store is back when the nodes start") {
    CHECK(mesh.post("leave", "") == 200);
    mesh.HealthStatus = boost::beast::http::status::service_unavailable;
    mesh.setStore(test::StoreBehaviour::Serves);
  }
  SUBCASE("leave, and the target's node restarts again") {
    CHECK(mesh.post("leave", "") == 200);
    mesh.HealthStatus = boost::beast::http::status::service_unavailable;
    restartsAgain = true;
  }
  mesh.restartAllAndStore();
  if (restartsAgain)
    mesh.start("a-1");
  mesh.checkDeparted();
}

TEST_CASE("a node that reaches neither the store nor a peer acknowledges no "
          "departure") {
  // Guards against an acknowledgement that one restart of the node forgets.
  TargetMesh mesh;
  mesh.refuseStoreCalls();
  mesh.Nodes.erase("a-2");
  mesh.Nodes.erase("b-1");
  SUBCASE("leave") {
    CHECK(mesh.post("leave", "") == 503);
    CHECK_FALSE(mesh.isReadyAt("a-1"));
    CHECK(mesh.post("leave", "") == 503);
  }
  SUBCASE("draining") { CHECK(mesh.report("draining", 3) == 503); }
  SUBCASE("leave, and a peer is back") {
    CHECK(mesh.post("leave", "") == 503);
    mesh.start("b-1");
    CHECK(mesh.runUntil([&] { return mesh.post("leave", "") == 200; }));
  }
  SUBCASE("leave, and the store is back") {
    CHECK(mesh.post("leave", "") == 503);
    mesh.setStore(test::StoreBehaviour::Serves);
    CHECK(mesh.runUntil([&] { return mesh.post("leave", "") == 200; }));
  }
}

TEST_CASE("a late heartbeat revives no target when the nodes restart in turn") {
  // Guards against a memory that ends with the peers of before the leave.
  TargetMesh mesh;
  mesh.refuseStoreCalls();
  CHECK(mesh.post("leave", "") == 200);
  for (const char *it : {"a-2", "b-1", "a-1", "b-1", "a-2", "a-1"}) {
    mesh.start(it);
    REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  }
  mesh.checkDeparted();
}

TEST_CASE("two late heartbeats revive no target that nobody remembers") {
  // Guards against reports that are all late by the same time.
  TargetMesh mesh;
  mesh.refuseStoreCalls();
  CHECK(mesh.post("leave", "") == 200);
  mesh.restartAllAndStore();
  CHECK(mesh.report("ready", 2) == 200);
  mesh.runUntil([] { return false; }, 1500ms);
  CHECK(mesh.report("ready", 3) == 200);
  CHECK_FALSE(mesh.runUntil([&] { return mesh.isReadyAnywhere(); }, 2s));
}

TEST_CASE("a target that serves on is ready after all nodes restarted") {
  // Guards against targets that stay out of use once no node remembers them.
  TargetMesh mesh;
  SUBCASE("while the store is away") {
    mesh.refuseStoreCalls();
    mesh.restartAllAndStore();
  }
  SUBCASE("although its health check fails") {
    mesh.HealthStatus = boost::beast::http::status::service_unavailable;
    mesh.restartAll();
    REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  }
  auto sequence = 1;
  CHECK(mesh.runUntil([&] {
    CHECK(mesh.report("ready", ++sequence) == 200);
    mesh.runUntil([] { return false; }, 500ms);
    return mesh.isReadyAt("a-1") && mesh.isReadyAt("b-1");
  }));
}

TEST_CASE("a target that is not leaving is ready at once after all nodes "
          "restarted with the store") {
  // Guards against a restart of all nodes that takes longer than it must.
  TargetMesh mesh;
  mesh.restartAll();
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  CHECK(mesh.report("ready", 2) == 200);
  CHECK(mesh.runUntil(
      [&] { return mesh.isReadyAt("a-1") && mesh.isReadyAt("b-1"); }));
  CHECK(mesh.HealthChecks == 1);
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
