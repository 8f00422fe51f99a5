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

std::string settingsWith(const std::string &more,
                         const std::string &region = "south") {
  return R"({"node": "north-1", "data_centre": "north", "region": ")" + region +
         R"(",
    "listen": {"calls": "127.0.0.1:9000", "mesh": "127.0.0.1:9001",
      "gossip": "127.0.0.1:9001", "peer": "127.0.0.1:9002",
      "targets": "127.0.0.1:9003", "administration": "127.0.0.1:9900"},
    "platform": {"addresses": ["127.0.0.1:9800"]})" +
         more + "}";
}

admin::NodeSettings parsed(const std::string &text) {
  base::LastReason reason;
  auto out = admin::parseNodeSettings(text, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

/// A settings file of this test alone.
struct TemporaryFile {
  std::string Path =
      "/tmp/radishcross-settings-" + std::to_string(getpid()) + ".json";
  ~TemporaryFile() { std::remove(Path.c_str()); }
  void write(const std::string &text) const { std::ofstream(Path) << text; }
};

/// A watched file without settings of its own beyond the least.
struct WatchedFile {
  TemporaryFile File;
  boost::asio::io_context Context;
  uint32_t Drain = 0; ///< As told last.
  std::optional<node::SettingsFileWatcher> Watched;

  WatchedFile() {
    File.write(settingsWith(""));
    Watched.emplace(Context, File.Path, parsed(settingsWith("")),
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

TEST_CASE("what can change live is taken, and the rest is named") {
  node::LiveSettings watch(parsed(settingsWith("")));
  base::LastReason reason;
  CHECK(watch.take(settingsWith(""), reason).Difference.Live.empty());
  auto changed = settingsWith(
      R"(, "drain_seconds": 7, "target_lease_ms": 4000,
        "log": {"level": "debug"}, "call_headers": {"deadline": "X-Left"},
        "service": "till", "recording_bytes": 5)",
      "north");
  auto reading = watch.take(changed, reason);
  CHECK(reading.What == Kind::Taken);
  CHECK(reading.Difference.Live ==
        std::vector<std::string>{"log", "drain_seconds", "call_headers",
                                 "target_lease_ms", "service"});
  CHECK(reading.Difference.Restart ==
        std::vector<std::string>{"region", "labels", "recording_bytes"});
  CHECK(watch.inForce().DrainSeconds == 7);
  CHECK(watch.inForce().TargetLease == 4s);
  CHECK(watch.inForce().CallHeaders.Deadline == "X-Left");
  CHECK(watch.inForce().Service == "till");
  CHECK(watch.inForce().Region == "south");
  CHECK(watch.take(changed, reason).What == Kind::Same);
}

TEST_CASE("a bad file leaves the old settings in force and is named once") {
  node::LiveSettings watch(parsed(settingsWith(R"(, "drain_seconds": 9)")));
  for (const char *bad : {"", "{", "[]", R"({"node": "north-1"})"}) {
    INFO(bad);
    base::LastReason reason;
    watch.take(settingsWith(R"(, "drain_seconds": 9)"), reason);
    CHECK(watch.take(std::string(bad) + " ", reason).What == Kind::Refused);
    CHECK(reason.code() != base::ResultCode::Ok);
    CHECK(watch.take(std::string(bad) + " ", reason).What == Kind::Same);
    CHECK(watch.inForce().DrainSeconds == 9);
  }
}

TEST_CASE("a hangup rereads the file and ends nothing") {
  WatchedFile it;
  it.File.write(settingsWith(R"(, "drain_seconds": 5)"));
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

TEST_CASE("a file that changes without a signal is read all the same") {
  WatchedFile it;
  it.File.write(settingsWith(R"(, "drain_seconds": 6)"));
  CHECK(runUntil(it.Context, [&] { return it.Drain == 6; }));
}
