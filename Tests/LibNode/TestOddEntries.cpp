#include <LibLog/RecordBodies.h>
#include <LibNode/FreeListeners.h>
#include <LibNode/MockPlatform.h>
#include <LibNode/NodeProcess.h>
#include <LogFile.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <platform/Ports.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Changes = "keyed.radishcross-changes";
constexpr std::string_view NodesTopic = "keyed.radishcross-nodes";
constexpr std::string_view Holdings = "keyed.radishcross-holdings";
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

std::string nested(std::string_view open, std::string_view close, int levels) {
  std::string out;
  for (int n = 0; n < levels; ++n)
    out += open;
  out += "1";
  for (int n = 0; n < levels; ++n)
    out += close;
  return out;
}

/// Returns texts that another writer may leave in place of a JSON object with
/// the field \p key.
std::vector<std::string> oddTexts(const std::string &key) {
  std::vector<std::string> out = {
      "{",        "[]",  "7",    "null",      "\"\"",
      "\xff\xfe", "NaN", "{}{}", R"({"":1})", std::string(1, 0),
      R"([{}])"};
  for (int levels : {30, 10'000, 40'000}) {
    out.push_back(nested("[", "]", levels));
    out.push_back(nested(R"({"a":)", "}", levels));
    out.push_back("{\"" + key + "\":" + nested("[", "]", levels) + "}");
  }
  for (const char *number :
       {"1e400", "-1e400", "1e308", "18446744073709551616",
        "18446744073709551615", "9223372036854775808", "-1", "0.5", "NaN",
        "Infinity", "\"7\"", "null", "[]", "{}", "true"})
    out.push_back("{\"" + key + "\":" + number + "}");
  return out;
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

  void publishOperator(uint64_t version) {
    write(Operator, "config", operatorRecord(version));
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

TEST_CASE("an odd entry of another writer in any topic keeps no node from "
          "starting, meeting others and following new versions") {
  tests::LogFile log;
  Mesh mesh;
  const auto own = mesh.Settings[0].Node;
  auto writeOdd = [&](const std::string &suffix) {
    for (auto topic : {Changes, NodesTopic, Holdings, Operator}) {
      for (const auto &field : {"incarnation", "version", "badges"}) {
        int n = 0;
        for (const auto &text : oddTexts(field))
          mesh.write(topic, "odd-" + suffix + std::to_string(n++), text);
      }
      mesh.write(topic, "\xff\xfe" + suffix, "{");
      mesh.write(topic, "", "{}");
      mesh.writeContent(topic, "");
      mesh.writeContent(topic, "\t{}");
    }
    for (const char *port :
         {"0", "65536", "99999999999999999999", "-1", "1e3", " 80", "+80", ""})
      mesh.write(NodesTopic, std::string("port") + port + suffix,
                 std::string(R"({"incarnation":1,"gossip":"127.0.0.1:)") +
                     port + "\"}");
    // In place of what one of the nodes has written itself.
    mesh.write(NodesTopic, own, R"({"incarnation":1e400,"gossip":7})");
    mesh.write(Holdings, own, R"({"badges":18446744073709551615})");
    mesh.write(Changes, "covered-18446744073709551616", "{}");
    mesh.write(Changes, "covered-99999999999999999999999", "{}");
    mesh.write(Operator, "config", nested("[", "]", 100'000));
    mesh.write(Operator, "config", R"({"version":1e400})");
  };
  writeOdd("a");
  mesh.publishOperator(2);
  mesh.publishBadges(0);
  mesh.startAll();
  CHECK(mesh.runUntil([&] { return mesh.allHold("external", 2); }));
  CHECK(mesh.runUntil([&] { return mesh.allHold("badges", 1); }));
  writeOdd("b");
  mesh.publishOperator(3);
  mesh.publishBadges(1);
  CHECK(mesh.runUntil([&] { return mesh.allHold("external", 3); }, 4s));
  CHECK(mesh.runUntil([&] { return mesh.allHold("badges", 2); }, 10s));
  // Listed once more, after the history was dropped.
  mesh.Platform.Store.forgetHistory();
  writeOdd("c");
  mesh.publishOperator(4);
  mesh.publishBadges(2);
  CHECK(mesh.runUntil([&] { return mesh.allHold("external", 4); }, 4s));
  CHECK(mesh.runUntil([&] { return mesh.allHold("badges", 3); }, 10s));
  // A node that reads the log from its list folds the same as the others.
  auto hash = mesh.Nodes[1]->fold().hash();
  mesh.Nodes.clear();
  mesh.startAll();
  CHECK(mesh.runUntil([&] { return mesh.allHold("external", 4); }));
  CHECK(mesh.runUntil([&] { return mesh.allHold("badges", 3); }));
  CHECK(mesh.Nodes[1]->fold().hash() == hash);
  // Its own entry in the directory is right again.
  auto isRegistered = [&] {
    auto entry = mesh.Platform.Store.newestOf(std::string(NodesTopic), own);
    return entry.find(mesh.Settings[0].Gossip.text()) != std::string::npos;
  };
  CHECK(mesh.runUntil(isRegistered, 30s));
  auto lines = log.lines();
  CHECK(lines.size() < 2000);
}
