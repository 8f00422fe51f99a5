#include <LibNode/SettingsFileWatcher.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <optional>
#include <string>
#include <unistd.h>

using namespace radishcross;
using namespace std::chrono_literals;
using Kind = node::SettingsUpdate::Kind;

namespace {

std::string makeSettings(const std::string &extraFields,
                         const std::string &region = "south") {
  return R"({"node": "north-1", "data_centre": "north", "region": ")" + region +
         R"(",
    "listen": {"calls": "127.0.0.1:9000", "mesh": "127.0.0.1:9001",
      "gossip": "127.0.0.1:9001", "peer": "127.0.0.1:9002",
      "targets": "127.0.0.1:9003", "administration": "127.0.0.1:9900"},
    "platform": {"addresses": ["127.0.0.1:9800"]})" +
         extraFields + "}";
}

admin::NodeSettings parseSettings(const std::string &text) {
  base::LastReason reason;
  auto out = admin::parseNodeSettings(text, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

/// A settings file that only this test process uses.
struct TemporaryFile {
  std::string Path =
      "/tmp/radishcross-settings-" + std::to_string(getpid()) + ".json";
  ~TemporaryFile() { std::remove(Path.c_str()); }
  void write(const std::string &text) const { std::ofstream(Path) << text; }
};

/// A watched settings file that starts with the minimal settings.
struct WatchedFile {
  TemporaryFile File;
  boost::asio::io_context Context;
  uint32_t Drain = 0; ///< The last reported drain_seconds.
  std::optional<node::SettingsFileWatcher> Watcher;

  WatchedFile() {
    File.write(makeSettings(""));
    Watcher.emplace(Context, File.Path, parseSettings(makeSettings("")),
                    [this](const auto &it) { Drain = it.DrainSeconds; });
  }
};

template <typename Condition>
bool runUntil(boost::asio::io_context &context, Condition condition) {
  auto deadline = std::chrono::steady_clock::now() + 8s;
  while (!condition() && std::chrono::steady_clock::now() < deadline)
    context.run_one_for(50ms);
  return condition();
}

} // namespace

TEST_CASE("live settings are applied, and the others are reported as needing a "
          "restart") {
  node::LiveSettings live(parseSettings(makeSettings("")));
  base::LastReason reason;
  CHECK(live.update(makeSettings(""), reason).Difference.Live.empty());
  auto changed = makeSettings(
      R"(, "drain_seconds": 7, "target_lease_ms": 4000,
        "log": {"level": "debug"}, "call_headers": {"deadline": "X-Left"},
        "service": "till", "recording_bytes": 5)",
      "north");
  auto update = live.update(changed, reason);
  CHECK(update.What == Kind::Applied);
  CHECK(update.Difference.Live ==
        std::vector<std::string>{"log", "drain_seconds", "call_headers",
                                 "target_lease_ms", "service"});
  CHECK(update.Difference.Restart ==
        std::vector<std::string>{"region", "labels", "recording_bytes"});
  CHECK(live.inForce().DrainSeconds == 7);
  CHECK(live.inForce().TargetLease == 4s);
  CHECK(live.inForce().CallHeaders.Deadline == "X-Left");
  CHECK(live.inForce().Service == "till");
  CHECK(live.inForce().Region == "south");
  CHECK(live.update(changed, reason).What == Kind::Unchanged);
}

TEST_CASE("an invalid file leaves the settings in force and is reported once") {
  node::LiveSettings live(
      parseSettings(makeSettings(R"(, "drain_seconds": 9)")));
  for (const char *bad : {"", "{", "[]", R"({"node": "north-1"})"}) {
    INFO(bad);
    base::LastReason reason;
    live.update(makeSettings(R"(, "drain_seconds": 9)"), reason);
    CHECK(live.update(std::string(bad) + " ", reason).What == Kind::Rejected);
    CHECK(reason.code() != base::ResultCode::Ok);
    CHECK(live.update(std::string(bad) + " ", reason).What == Kind::Unchanged);
    CHECK(live.inForce().DrainSeconds == 9);
  }
}

TEST_CASE("SIGHUP reloads the file and does not end the process") {
  WatchedFile it;
  it.File.write(makeSettings(R"(, "drain_seconds": 5)"));
  std::raise(SIGHUP);
  auto before = std::chrono::steady_clock::now();
  CHECK(runUntil(it.Context, [&] { return it.Drain == 5; }));
  CHECK(std::chrono::steady_clock::now() - before < 1s);
  it.File.write("{");
  std::raise(SIGHUP);
  std::raise(SIGHUP);
  it.Context.run_for(100ms);
  CHECK(it.Drain == 5);
}

TEST_CASE("a file that changes without a signal is reloaded") {
  WatchedFile it;
  it.File.write(makeSettings(R"(, "drain_seconds": 6)"));
  CHECK(runUntil(it.Context, [&] { return it.Drain == 6; }));
}
