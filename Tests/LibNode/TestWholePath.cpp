#include <LibNode/FreeListeners.h>
#include <LibNode/MockPlatform.h>

#include <LibBase/Hash.h>
#include <LibBase/WallClock.h>
#include <LibHttp/Client.h>
#include <LibNode/NodeProcess.h>
#include <LogFile.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/status.hpp>
#include <doctest/doctest.h>
#include <platform/Ports.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

constexpr const char *AdministratorToken = "an administrator's token";
constexpr auto Timeout = 20s;

constexpr const char *FirstVersion = R"({"content": {
  "services": [{"name": "lookup"}],
  "routes": [{"name": "lookup", "match": {"path_prefix": "/lookup"},
    "service": "lookup", "rank": "standard", "deadline_ms": 5000,
    "idempotent": true}]}})";

http::Request makeRequest(boost::beast::http::verb method,
                          const std::string &path, std::string body = {}) {
  http::Request out(method, path, 11);
  out.set(boost::beast::http::field::host, "badges.example");
  out.set(boost::beast::http::field::authorization,
          std::string("Bearer ") + AdministratorToken);
  out.body() = std::move(body);
  out.prepare_payload();
  return out;
}

/// A mesh of nodes in one process, one in each of three data centres.
struct Mesh {
  boost::asio::io_context Context{1};
  test::MockPlatform Platform{Context};
  std::vector<admin::NodeSettings> Settings;
  std::vector<std::unique_ptr<node::NodeProcess>> Nodes;
  std::shared_ptr<http::Server> Target;
  base::Address TargetAddress;
  int RequestCount = 0;
  int Heartbeats = 0;
  uint64_t TargetStarted = static_cast<uint64_t>(base::unixMilliseconds());
  /// A header field of the target's responses.
  std::string StatedField;
  std::string StatedValue;

  Mesh() {
    for (const char *dataCentre : {"mobile", "savannah", "macon"}) {
      admin::NodeSettings it;
      it.Node = std::string(dataCentre) + "-1";
      it.DataCentre = dataCentre;
      it.Region = "south";
      test::setFreeListeners(it);
      it.Metrics = test::freeAddress();
      it.Platform = {Platform.address()};
      it.MeshKeys = {"0123456789abcdef0123456789abcdef"};
      it.Tokens = {{"operator", base::sha256Hex(AdministratorToken), "permits",
                    admin::Role::Administrator}};
      it.DrainSeconds = 10;
      Settings.push_back(std::move(it));
    }
    for (auto &it : Settings)
      for (const auto &other : Settings)
        if (other.Node != it.Node)
          it.Seeds.push_back(other.Gossip);
    for (const auto &it : Settings)
      start(it);
    startTarget();
  }

  void start(const admin::NodeSettings &settings) {
    base::LastReason reason;
    auto node =
        node::NodeProcess::create(Context, settings, platform::ports(), reason);
    REQUIRE_MESSAGE(node, reason.text());
    Nodes.push_back(std::move(*node));
  }

  void startTarget() {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, {},
        [this](http::IncomingRequest request)
            -> boost::asio::awaitable<http::Response> {
          ++RequestCount;
          http::Response out(boost::beast::http::status::ok, 11);
          out.body() = "ran " + std::string(request.Message.target());
          if (!StatedField.empty())
            out.set(StatedField, StatedValue);
          out.prepare_payload();
          co_return out;
        },
        reason);
    REQUIRE_MESSAGE(server, reason.text());
    Target = *server;
    TargetAddress = Target->address();
  }

  /// Runs the event loop until \p condition holds; returns false after the
  /// timeout.
  template <typename Condition> bool runUntil(Condition condition) {
    auto deadline = std::chrono::steady_clock::now() + Timeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline)
        return false;
      Context.run_one_for(100ms);
    }
    return true;
  }

  std::optional<http::Response> send(const base::Address &server,
                                     const http::Request &request) {
    std::optional<http::Response> out;
    bool isDone = false;
    boost::asio::co_spawn(
        Context,
        [&]() -> boost::asio::awaitable<void> {
          base::LastReason reason;
          out = co_await http::fetch(server, request, 10s, reason);
          isDone = true;
        },
        boost::asio::detached);
    REQUIRE(runUntil([&] { return isDone; }));
    return out;
  }

  void announceTarget() {
    std::string body =
        R"({"service": "badges/lookup", "target": "t1", "address": ")" +
        TargetAddress.text() +
        R"(", "state": "ready", "slots": 9, "connections": 120})";
    auto answer =
        send(Settings[0].Targets,
             makeRequest(boost::beast::http::verb::post, "/v1/targets", body));
    REQUIRE(answer);
    REQUIRE(answer->result_int() == 200);
  }

  /// Sends a heartbeat of the target's one process, which reports to be ready.
  void sendHeartbeat() {
    std::string body =
        R"({"service": "badges/lookup", "address": ")" + TargetAddress.text() +
        R"(", "state": "ready", "slots": 9, "sequence": )" +
        std::to_string(++Heartbeats) + R"(, "started_unix_ms": )" +
        std::to_string(TargetStarted) + "}";
    auto answer = send(Settings[0].Targets,
                       makeRequest(boost::beast::http::verb::post,
                                   "/v1/targets/t1/heartbeat", body));
    REQUIRE(answer);
    REQUIRE(answer->result_int() == 200);
  }

  /// Publishes a version, starts the target and makes a call through each of
  /// \p callers until one is answered.
  void serveThrough(const std::vector<size_t> &callers) {
    REQUIRE(runUntil([&] { return allReady(); }));
    send(Settings[1].Administration,
         makeRequest(boost::beast::http::verb::post,
                     "/v1/configurations/badges/versions", FirstVersion));
    REQUIRE(runUntil([&] { return allHold(1); }));
    sendHeartbeat();
    for (size_t it : callers)
      REQUIRE(runUntil([&] { return lookup(it) == 200; }));
  }

  /// Replaces the process of the target's node; returns when the node at \p
  /// caller has heard of the target from the new one.
  void restartTargetsNode(size_t caller) {
    uint64_t incarnation = targetsNode(caller).Incarnation;
    Nodes[0].reset();
    base::LastReason reason;
    auto node = node::NodeProcess::create(Context, Settings[0],
                                          platform::ports(), reason);
    REQUIRE_MESSAGE(node, reason.text());
    Nodes[0] = std::move(*node);
    REQUIRE(runUntil([&] { return allReady(); }));
    sendHeartbeat();
    REQUIRE(runUntil([&] {
      auto member = targetsNode(caller);
      return member.Incarnation > incarnation && !member.Targets.empty();
    }));
  }

  /// Returns the target's node as the node at \p caller sees it.
  fleet::Member targetsNode(size_t caller) {
    for (const auto &it : Nodes[caller]->members())
      if (it.Identity.Id == Settings[0].Node)
        return it;
    return {};
  }

  /// Returns the status of a call through the node at \p caller.
  unsigned lookup(size_t caller) {
    auto answer =
        send(Settings[caller].Calls,
             makeRequest(boost::beast::http::verb::get, "/lookup/badge"));
    return answer ? answer->result_int() : 0;
  }

  bool allReady() {
    return std::all_of(Nodes.begin(), Nodes.end(),
                       [](const auto &it) { return it->ready(); });
  }

  bool allHold(uint64_t version) {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
      return it->held().snapshot()->versionOf("badges") >= version;
    });
  }
};

} // namespace

TEST_CASE("a published version routes a call through another node's target") {
  Mesh mesh;
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  auto published = mesh.send(mesh.Settings[1].Administration,
                             makeRequest(boost::beast::http::verb::post,
                                         "/v1/configurations/badges/versions",
                                         FirstVersion));
  REQUIRE(published);
  INFO(published->body());
  CHECK(published->result_int() < 300);
  CHECK(mesh.runUntil([&] { return mesh.allHold(1); }));

  mesh.announceTarget();
  auto lookup = makeRequest(boost::beast::http::verb::get, "/lookup/badge");
  std::optional<http::Response> answer;
  CHECK(mesh.runUntil([&] {
    answer = mesh.send(mesh.Settings[2].Calls, lookup);
    return answer && answer->result_int() == 200;
  }));
  CHECK(answer->body() == "ran /lookup/badge");
  CHECK(mesh.RequestCount == 1);

  auto unknown = mesh.send(mesh.Settings[2].Calls,
                           makeRequest(boost::beast::http::verb::get, "/none"));
  REQUIRE(unknown);
  CHECK(unknown->result_int() == 404);

  bool isDrained = false;
  mesh.Nodes[0]->whenDrained([&] { isDrained = true; });
  mesh.Nodes[0]->drainSelf();
  CHECK_FALSE(mesh.Nodes[0]->ready());
  // Calls that arrive before the callers learn of the drain are served, not
  // refused.
  auto late = mesh.send(mesh.Settings[0].Calls, lookup);
  REQUIRE(late);
  CHECK(late->result_int() == 200);
  CHECK_FALSE(late->keep_alive());
  CHECK(mesh.runUntil([&] { return isDrained; }));
}

TEST_CASE("a restarted node recovers the version while the platform is down") {
  Mesh mesh;
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  mesh.send(mesh.Settings[0].Administration,
            makeRequest(boost::beast::http::verb::post,
                        "/v1/configurations/badges/versions", FirstVersion));
  REQUIRE(mesh.runUntil([&] { return mesh.allHold(1); }));
  mesh.Platform.Store.Outage = true;
  mesh.Nodes.pop_back();
  mesh.start(mesh.Settings[2]);
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  CHECK(mesh.allHold(1));
}

namespace {

/// Narrows a selector so that it no longer selects a node, and restarts that
/// node: immediately, or once its peers remember what it holds.
void restartDeselected(bool immediately) {
  using boost::beast::http::verb;
  Mesh mesh;
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  mesh.send(mesh.Settings[0].Administration,
            makeRequest(verb::post, "/v1/configurations/badges/versions",
                        FirstVersion));
  REQUIRE(mesh.runUntil([&] { return mesh.allHold(1); }));
  auto narrowed =
      mesh.send(mesh.Settings[0].Administration,
                makeRequest(verb::post, "/v1/attachments",
                            R"({"name": "badges", "configuration": "badges",
                      "version": 1, "selector": "data_centre=mobile"})"));
  REQUIRE(narrowed);
  INFO(narrowed->body());
  REQUIRE(narrowed->result_int() == 200);
  REQUIRE(mesh.runUntil([&] {
    return mesh.Nodes[2]->held().holdovers() ==
               std::vector<std::string>{"badges"} &&
           mesh.Nodes[1]->fold().offset() == mesh.Nodes[2]->fold().offset();
  }));

  auto isRemembered = [&] {
    for (const auto &it : mesh.Nodes[0]->members())
      if (it.Identity.Id == mesh.Settings[2].Node && !it.Exceptions.empty())
        return true;
    return false;
  };
  if (!immediately)
    REQUIRE(mesh.runUntil(isRemembered));
  mesh.Nodes.pop_back();
  mesh.start(mesh.Settings[2]);
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  CHECK(mesh.allHold(1));
  CHECK(mesh.Nodes[2]->held().holdovers() ==
        std::vector<std::string>{"badges"});
}

} // namespace

TEST_CASE(
    "a restarted node keeps a version that it is no longer selected for") {
  restartDeselected(false);
}

TEST_CASE("a node restarted before its peers know of its holdover keeps the "
          "version") {
  restartDeselected(true);
}

TEST_CASE("each node logs its recovery exactly once") {
  tests::LogFile log;
  Mesh mesh;
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  auto recovered = [&] {
    size_t out = 0;
    for (const auto &it : log.lines())
      out += tests::textAt(it, "event") == "recovered" ? 1 : 0;
    return out;
  };
  REQUIRE(mesh.runUntil([&] { return recovered() >= mesh.Nodes.size(); }));
  // A second line would be logged within the nodes' next timer period.
  mesh.Context.run_for(300ms);
  CHECK(recovered() == mesh.Nodes.size());
}

TEST_CASE("each store call is counted once") {
  Mesh mesh;
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  auto sum = [&](const char *name) {
    uint64_t out = 0;
    for (const auto &it : mesh.Nodes)
      out += it->metrics().counter(name);
    return out;
  };
  // Each node writes its directory entry soon after it has met others.
  REQUIRE(mesh.runUntil(
      [&] { return mesh.Platform.Store.Appends >= mesh.Nodes.size(); }));
  // Calls in flight are counted by the nodes before the store counts them.
  CHECK(mesh.runUntil([&] {
    return sum("platform_reads_total") == mesh.Platform.Store.Reads &&
           sum("platform_appends_total") == mesh.Platform.Store.Appends;
  }));
  CHECK(mesh.Platform.Store.Reads > 0);
  CHECK(mesh.Platform.Store.Appends > 0);
}

TEST_CASE("the metrics address serves the metrics and nothing else") {
  Mesh mesh;
  REQUIRE(mesh.runUntil([&] { return mesh.allReady(); }));
  mesh.announceTarget();
  auto get = [&](const std::string &path) {
    return mesh.send(mesh.Settings[0].Metrics,
                     makeRequest(boost::beast::http::verb::get, path));
  };
  // The directory is listed soon after the node has met others.
  std::optional<http::Response> page;
  REQUIRE(mesh.runUntil([&] {
    page = get("/metrics");
    return page &&
           page->body().find("store_told_age_seconds{topic=\"nodes\"") !=
               std::string::npos;
  }));
  CHECK(page->result_int() == 200);
  for (const char *name :
       {"calls_total{rank=\"critical\",outcome=\"answered\"} 0",
        "targets{state=\"ready\"} 1", "members_by_state{state=\"alive\"} 3",
        "store_calls_total{call=\"list\",result=\"answered\"} ",
        "store_told_age_seconds{topic=\"nodes\"} ",
        "store_read_overdue_seconds{topic=\"nodes\"} ", "ready 1",
        "gate_limit{service=\"badges/lookup\"} 9"}) {
    CAPTURE(name);
    CHECK(page->body().find(name) != std::string::npos);
  }
  auto other = get("/v1/members");
  REQUIRE(other);
  CHECK(other->result_int() == 404);
}

TEST_CASE("a leaving target that reports to be ready gets further calls") {
  Mesh mesh;
  mesh.StatedField = calls::CallHeaders().Leaving;
  mesh.StatedValue = "1";
  mesh.serveThrough({2});
  mesh.sendHeartbeat();
  CHECK(mesh.lookup(2) == 503);
  // The other nodes hear of it from the target's node.
  CHECK(mesh.runUntil([&] { return mesh.lookup(1) == 503; }));
  int before = mesh.RequestCount;
  mesh.restartTargetsNode(2);
  CHECK(mesh.lookup(2) == 503);
  CHECK(mesh.RequestCount == before);
}

TEST_CASE("a restarted node lets callers exceed the rate limit of its target") {
  Mesh mesh;
  mesh.StatedField = calls::CallHeaders().RateLimit;
  mesh.StatedValue = "0.1";
  mesh.serveThrough({2});
  CHECK(mesh.lookup(2) == 503);
  CHECK(mesh.lookup(1) == 503);
  mesh.restartTargetsNode(2);
  CHECK(mesh.lookup(2) == 503);
  CHECK(mesh.RequestCount == 1);
}
