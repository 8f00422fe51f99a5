#include <LibHttp/Client.h>
#include <LibHttp/Server.h>
#include <LibNode/StoreMesh.h>
#include <LibRollout/DeciderChoice.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <platform/Ports.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

constexpr const char *Service = "external/lookup";

constexpr const char *Configuration = R"({"version": 3,
  "services": [{"name": "lookup", "healthPath": "/health",
                "maxConnections": 120}],
  "routes": [{"name": "r1", "host": "badges.example", "pathPrefix": "/",
    "service": "lookup", "priority": 0, "kind": "safe", "timeout": 2000,
    "targetLatency": 400, "maxAttempts": 2}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
             "headerTimeout": 3000, "idleTimeout": 20000}})";

/// Four nodes with targets of two versions beside them and clients that call
/// through each.
struct RolloutMesh : test::StoreMesh {
  struct Target {
    std::string Node;
    std::string Id;
    std::string Version;
    std::shared_ptr<http::Server> Server;
  };
  std::vector<Target> Targets;
  std::string BadVersion;
  std::map<std::string, int> Runs; ///< By version.
  int Sequence = 0;
  bool IsStopped = false;
  int OpenCalls = 0;

  RolloutMesh() {
    Formats = platform::ports();
    addSettings("b-2");
    for (auto &it : Settings)
      it.Versions = rollout::Bounds{300, 50, 5s};
    publish(Configuration);
    startAll();
    addTarget("a-1", "v1");
    addTarget("b-1", "v1");
    addTarget("a-2", "v2");
    addTarget("b-2", "v2");
    keepReporting();
    REQUIRE(runUntil([&] {
      return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
        return readyAt(*it.second) == Targets.size();
      });
    }));
  }

  ~RolloutMesh() {
    IsStopped = true;
    runUntil([&] { return OpenCalls == 0; });
  }

  static size_t readyAt(const node::NodeProcess &node) {
    size_t n = 0;
    for (const auto &member : node.members())
      for (const auto &it : member.Targets)
        n += it.State == fleet::TargetState::Ready ? 1 : 0;
    return n;
  }

  void addTarget(const std::string &node, const std::string &version) {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, {},
        [this, version](
            http::IncomingRequest) -> boost::asio::awaitable<http::Response> {
          ++Runs[version];
          http::Response out(
              version == BadVersion
                  ? boost::beast::http::status::internal_server_error
                  : boost::beast::http::status::ok,
              11);
          out.body() = version;
          out.prepare_payload();
          co_return out;
        },
        reason);
    REQUIRE_MESSAGE(server, reason.text());
    Targets.push_back({node, "t-" + node, version, *server});
  }

  template <typename Body> void spawn(Body body) {
    ++OpenCalls;
    boost::asio::co_spawn(
        Context,
        [this, body = std::move(body)]() -> boost::asio::awaitable<void> {
          co_await body();
          --OpenCalls;
        },
        boost::asio::detached);
  }

  const admin::NodeSettings &settingsOf(const std::string &id) {
    return *std::find_if(Settings.begin(), Settings.end(),
                         [&](const auto &it) { return it.Node == id; });
  }

  boost::asio::awaitable<void> pause(base::Duration time) {
    boost::asio::steady_timer timer(Context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  void keepReporting() {
    for (size_t n = 0; n < Targets.size(); ++n)
      spawn([this, n]() -> boost::asio::awaitable<void> {
        while (!IsStopped) {
          const auto &it = Targets[n];
          http::Request request(boost::beast::http::verb::post,
                                "/v1/targets/" + it.Id + "/heartbeat", 11);
          request.body() = R"({"service":"lookup","address":")" +
                           it.Server->address().text() +
                           R"(","slots":50,"state":"ready","version":")" +
                           it.Version + R"(","sequence":)" +
                           std::to_string(++Sequence) +
                           R"(,"started_unix_ms":1764824231000})";
          request.prepare_payload();
          base::LastReason reason;
          co_await http::fetch(settingsOf(it.Node).Targets, request, 1s,
                               reason);
          co_await pause(500ms);
        }
      });
  }

  /// Calls through each node, 30 times a second.
  void callAll() {
    for (const auto &settings : Settings)
      spawn([this, id = settings.Node]() -> boost::asio::awaitable<void> {
        while (!IsStopped) {
          co_await pause(33ms);
          const auto node = Nodes.find(id);
          if (node == Nodes.end())
            continue;
          http::Request request(boost::beast::http::verb::get, "/x", 11);
          request.set(boost::beast::http::field::host, "badges.example");
          base::LastReason reason;
          co_await http::fetch(node->second->callsAddress(), request, 3s,
                               reason);
        }
      });
  }

  void order(const std::string &version, int seconds) {
    Content.write(log::Topic::Operator, "rollout/lookup",
                  R"({"service":"lookup","targetVersion":")" + version +
                      R"(","period":)" + std::to_string(seconds) + "}");
  }

  std::string status() {
    const auto &records = Content.Topics[log::Topic::Status].Records;
    return records.empty() ? "" : records.back().Value;
  }
  bool hasStatus(std::string_view state) {
    return status().find("\"" + std::string(state) + "\"") != std::string::npos;
  }

  std::string decider() {
    std::vector<std::string> ids;
    for (const auto &it : Nodes)
      ids.push_back(it.first);
    return std::string(rollout::deciderOf(Service, ids));
  }

  /// The states in the store go forward only, and end once.
  void checkStates() {
    uint64_t step = 0;
    bool isFinal = false;
    auto ports = platform::ports();
    for (const auto &it : Content.Topics[log::Topic::Status].Records) {
      base::LastReason reason;
      CHECK(it.Key == "rollout/lookup");
      const auto value = ports.DecodeRolloutStatus(it.Value, reason);
      REQUIRE_MESSAGE(value, reason.text());
      CHECK_FALSE(isFinal);
      CHECK(value->Step >= step);
      step = value->Step;
      isFinal = value->isFinal();
    }
  }
};

constexpr int Period = 8; // Seconds.
constexpr auto Longest = 20s;

} // namespace

TEST_CASE("a good version is completed") {
  RolloutMesh mesh;
  mesh.callAll();
  mesh.order("v2", Period);
  REQUIRE(mesh.runUntil([&] { return mesh.hasStatus("running"); }, Longest));
  REQUIRE(mesh.runUntil([&] { return !mesh.hasStatus("running"); }, Longest));
  CHECK(mesh.hasStatus("completed"));
  mesh.checkStates();
  // All nodes learn it: the old version gets no more.
  mesh.runUntil([] { return false; }, 2s);
  const auto before = mesh.Runs["v1"];
  const auto fresh = mesh.Runs["v2"];
  CHECK(mesh.runUntil([&] { return mesh.Runs["v2"] > fresh + 20; }));
  CHECK(mesh.Runs["v1"] == before);
}

TEST_CASE("a bad version is rolled back and gets no more calls") {
  RolloutMesh mesh;
  mesh.BadVersion = "v2";
  mesh.callAll();
  mesh.order("v2", Period);
  REQUIRE(
      mesh.runUntil([&] { return mesh.hasStatus("rolled_back"); }, Longest));
  mesh.checkStates();
  mesh.runUntil([] { return false; }, 2s);
  const auto before = mesh.Runs["v2"];
  const auto old = mesh.Runs["v1"];
  CHECK(mesh.runUntil([&] { return mesh.Runs["v1"] > old + 20; }));
  CHECK(mesh.Runs["v2"] == before);
}

TEST_CASE("a roll-out goes on after its decider is killed") {
  for (const bool isBad : {false, true}) {
    CAPTURE(isBad);
    RolloutMesh mesh;
    mesh.callAll();
    mesh.order("v2", Period);
    REQUIRE(mesh.runUntil([&] { return mesh.hasStatus("running"); }, Longest));
    mesh.runUntil([] { return false; }, 1500ms);
    if (isBad)
      mesh.BadVersion = "v2";
    const auto id = mesh.decider();
    mesh.Nodes.erase(id);
    // Another node takes over, or the same one after a restart.
    mesh.runUntil([] { return false; }, 700ms);
    if (isBad)
      mesh.start(id);
    REQUIRE(mesh.runUntil([&] { return !mesh.hasStatus("running"); }, Longest));
    CHECK(mesh.hasStatus(isBad ? "rolled_back" : "completed"));
    mesh.checkStates();
  }
}
