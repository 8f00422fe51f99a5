#include <LibLog/RecordBodies.h>
#include <LibNode/FakeStore.h>
#include <LibNode/FreeListeners.h>
#include <LibNode/NodeProcess.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

/// Three nodes that share one store, whose behaviour can be set for each node.
struct Mesh {
  boost::asio::io_context Context{1};
  test::StoreContent Content;
  std::map<std::string, test::StoreBehaviour> Behaviours;
  std::vector<admin::NodeSettings> Settings;
  std::map<std::string, std::unique_ptr<node::NodeProcess>> Nodes;

  Mesh() {
    for (const char *id : {"a-1", "a-2", "b-1"})
      addSettings(id);
  }

  void addSettings(const std::string &id) {
    admin::NodeSettings it;
    it.Node = id;
    it.DataCentre = id.substr(0, 1);
    it.Region = "south";
    test::setFreeListeners(it);
    it.Platform = {{"127.0.0.1", 1}};
    it.HasOperatorConfiguration = true;
    it.TrustsNetwork = true;
    Settings.push_back(std::move(it));
  }

  node::PlatformPorts makePorts(const std::string &id) {
    node::PlatformPorts out;
    out.OpenStore = [this, id](boost::asio::io_context &context, auto,
                               base::Metrics &, http::RepeatPolicy) {
      return std::make_unique<test::FakeStore>(context, Content,
                                               Behaviours[id]);
    };
    out.ConfigurationKey = "config";
    out.DecodeOperatorRecord =
        [](std::string_view text,
           base::LastReason &reason) -> std::optional<config::ExternalVersion> {
      if (text.empty() || text[0] < '0' || text[0] > '9')
        return reason.fail(base::ResultCode::BadValue, "no number");
      config::ExternalVersion version;
      version.Version = std::stoull(std::string(text));
      return version;
    };
    return out;
  }

  void start(const std::string &id) {
    base::LastReason reason;
    const auto &settings =
        *std::find_if(Settings.begin(), Settings.end(),
                      [&](const auto &it) { return it.Node == id; });
    Nodes.erase(id);
    auto node =
        node::NodeProcess::create(Context, settings, makePorts(id), reason);
    REQUIRE_MESSAGE(node, reason.text());
    Nodes[id] = std::move(*node);
  }

  void startAll() {
    for (const auto &it : Settings)
      start(it.Node);
    REQUIRE(runUntil([&] { return allReady(); }));
    // Each has discovered the others.
    REQUIRE(runUntil([&] {
      return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
        return it.second->members().size() == Settings.size();
      });
    }));
  }

  void publish(const std::string &text) {
    Content.write(log::Topic::Operator, "config", text);
  }

  template <typename Condition>
  bool runUntil(Condition condition, base::Duration timeout = 10s) {
    auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
      Context.run_one_for(20ms);
    return condition();
  }

  bool allReady() {
    return std::all_of(Nodes.begin(), Nodes.end(),
                       [](const auto &it) { return it.second->ready(); });
  }

  uint64_t externalVersionAt(const std::string &id) {
    for (const auto &it : Nodes.at(id)->holdingSince())
      if (it.Configuration == config::ExternalConfigurationName)
        return it.Version;
    return 0;
  }
};

} // namespace

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
