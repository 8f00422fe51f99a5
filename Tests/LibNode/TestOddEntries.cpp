#include <LibLog/RecordBodies.h>
#include <LibNode/FreeListeners.h>
#include <LibNode/MockPlatform.h>
#include <LibNode/NodeProcess.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <platform/Ports.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Changes = "keyed.radishcross-changes";
constexpr std::string_view Operator = "keyed.op";

/// Returns an operator's record with one route.
std::string operatorRecord(uint64_t version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"services":[{"name":"a","healthPath":"/up","maxConnections":9}],)"
         R"("routes":[{"name":"r","host":"one.example","pathPrefix":"/x/",)"
         R"("service":"a","priority":0,"kind":"safe","timeout":1000,)"
         R"("targetLatency":400,"maxAttempts":2}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
         R"("headerTimeout":3000,"idleTimeout":20000}})";
}

/// Nodes that read all topics through the store's client.
struct Mesh {
  boost::asio::io_context Context{1};
  test::MockPlatform Platform{Context};
  std::vector<admin::NodeSettings> Settings;
  std::vector<std::unique_ptr<node::NodeProcess>> Nodes;

  Mesh() {
    write(Operator, "config", operatorRecord(1));
    for (const char *dataCentre : {"a", "a", "b"}) {
      admin::NodeSettings it;
      it.Node = dataCentre + std::to_string(Settings.size());
      it.DataCentre = dataCentre;
      it.Region = "south";
      test::setFreeListeners(it);
      it.Platform = {Platform.address()};
      it.HasOperatorConfiguration = true;
      it.InForceBound = 2s;
      it.TrustsNetwork = true;
      Settings.push_back(std::move(it));
    }
  }

  void write(std::string_view topic, const std::string &key,
             const std::string &value) {
    Platform.Store.write(std::string(topic), key, value);
  }

  void writeContent(std::string_view topic, const std::string &content) {
    Platform.Store.writeContent(std::string(topic), content);
  }

  void startAll() {
    for (const auto &it : Settings) {
      base::LastReason reason;
      auto node =
          node::NodeProcess::create(Context, it, platform::ports(), reason);
      REQUIRE_MESSAGE(node, reason.text());
      Nodes.push_back(std::move(*node));
    }
    CHECK(runUntil([&] { return allMet(); }));
  }

  template <typename Condition>
  bool runUntil(Condition condition, base::Duration timeout = 15s) {
    auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
      Context.run_one_for(20ms);
    return condition();
  }

  bool allHold(std::string_view configuration, uint64_t version) const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
      auto held = it->holdingSince();
      return std::any_of(held.begin(), held.end(), [&](const auto &holding) {
        return holding.Configuration == configuration &&
               holding.Version == version;
      });
    });
  }

  bool allMet() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
      return it->ready() && it->members().size() == Nodes.size();
    });
  }

  /// Appends a change that publishes and attaches the next version of the
  /// configuration "badges".
  void publishBadges(uint64_t base) {
    log::PublishBody body;
    body.Configuration = "badges";
    body.Base = base;
    body.Content = boost::json::object{};
    body.Attach.push_back({"all", {}});
    auto id = "change-" + std::to_string(base);
    write(Changes, id,
          log::encodeRecord(log::makePublish(id, {"team", "me", ""}, body)));
  }
};

} // namespace

TEST_CASE("nodes follow the log of changes past a record without a key") {
  for (const std::string &odd :
       {std::string(), std::string("\t{}"), std::string("\0", 1)}) {
    CAPTURE(odd);
    Mesh mesh;
    mesh.startAll();
    mesh.publishBadges(0);
    REQUIRE(mesh.runUntil([&] { return mesh.allHold("badges", 1); }));
    mesh.writeContent(Changes, odd);
    mesh.publishBadges(1);
    CHECK(mesh.runUntil([&] { return mesh.allHold("badges", 2); }, 5s));
  }
}
