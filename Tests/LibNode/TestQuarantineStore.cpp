#include <LibCalls/CallFixtures.h>
#include <LibNode/FakeStore.h>
#include <LibNode/QuarantineNotices.h>

#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

/// One process of the node "n1" with its quarantine.
struct Process {
  boost::asio::io_context &Context;
  test::FakeStore Client;
  trace::NullRecorder Recorder;
  calls::Quarantine Table{Recorder};
  node::QuarantineStore Store;
  node::QuarantineNotices Notices{Table, Store};
  std::vector<std::string> Published;

  Process(boost::asio::io_context &context, test::StoreContent &content,
          const test::StoreBehaviour &behaviour, const int64_t &unixMs,
          const std::string &name = "n1")
      : Context(context), Client(context, content, behaviour),
        Store(Client, name, [&unixMs] { return unixMs; }) {}

  node::QuarantineNotices::Publish publisher() {
    return [this](const std::string &topic, const std::string &text,
                  base::Duration) { Published.push_back(topic + "=" + text); };
  }

  void tick(base::TimePoint now) {
    Notices.publish(publisher(), now);
    Store.tick(now);
    Context.restart();
    Context.run_for(30ms);
  }

  /// Reads what the store has, as a restarted node does.
  void restore(base::TimePoint now) {
    Client.list(log::Topic::Departures, [&](const auto &answer) {
      Notices.restore(Store.recall(answer.Records), now);
    });
    Context.restart();
    Context.run_for(30ms);
  }
};

struct Fixture {
  boost::asio::io_context Context{1};
  test::StoreContent Content;
  test::StoreBehaviour Behaviour = test::StoreBehaviour::Serves;
  int64_t UnixMs = 1'764'824'231'000;
  base::TimePoint Now{};

  Process start(const std::string &name = "n1") {
    return {Context, Content, Behaviour, UnixMs, name};
  }

  void pass(base::Duration time) {
    Now += time;
    UnixMs +=
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  }

  std::string stored() {
    const auto &records = Content.Topics[log::Topic::Departures].Records;
    return records.empty() ? "none" : records.back().Value;
  }
};

} // namespace

TEST_CASE("the store keeps a quarantined request for the time it lasts") {
  // Guards against a request that crashes targets again after restarts.
  Fixture it;
  auto first = it.start();
  first.Table.crashed(7, "s", it.Now);
  first.tick(it.Now);
  CHECK(it.stored() == "none");
  first.Table.crashed(7, "s", it.Now);
  first.tick(it.Now);
  REQUIRE(first.Published.size() == 2);
  CHECK(first.Published[0].starts_with("quarantine/7/1/"));
  CHECK(first.Published[1].starts_with("quarantine/7/2/"));
  CHECK(first.Published[1].ends_with("=s"));
  CHECK(it.stored().find("\"service\":\"s\"") != std::string::npos);
  it.pass(4min);
  auto next = it.start();
  next.restore(it.Now);
  CHECK(next.Table.blocks(7, "s", it.Now));
  CHECK_FALSE(next.Table.blocks(7, "other", it.Now));
  it.pass(7min);
  CHECK_FALSE(next.Table.blocks(7, "s", it.Now));
  next.tick(it.Now);
  CHECK(it.stored().empty());
}

TEST_CASE("an expired record is not applied, and its node removes it") {
  Fixture it;
  auto first = it.start();
  first.Table.crashed(7, "s", it.Now);
  first.Table.crashed(7, "s", it.Now);
  first.tick(it.Now);
  it.pass(11min);
  auto other = it.start("n2");
  other.restore(it.Now);
  other.tick(it.Now);
  CHECK_FALSE(other.Table.blocks(7, "s", it.Now));
  CHECK_FALSE(it.stored().empty());
  auto next = it.start();
  next.restore(it.Now);
  next.tick(it.Now);
  CHECK(it.stored().empty());
}

TEST_CASE("a write that fails is made again, and a lift replaces it") {
  Fixture it;
  auto node = it.start();
  it.Behaviour = test::StoreBehaviour::Refuses;
  node.Table.crashed(7, "s", it.Now);
  node.Table.crashed(7, "s", it.Now);
  node.tick(it.Now);
  CHECK(it.stored() == "none");
  it.Behaviour = test::StoreBehaviour::Serves;
  it.pass(2s);
  node.tick(it.Now);
  CHECK(it.stored().find("until_unix_ms") != std::string::npos);
  it.Behaviour = test::StoreBehaviour::Refuses;
  CHECK(node.Notices.lift(7, node.publisher(), it.Now));
  CHECK_FALSE(node.Notices.lift(7, node.publisher(), it.Now));
  node.tick(it.Now);
  // What is read before the removal is done does not come back.
  it.Behaviour = test::StoreBehaviour::Serves;
  node.restore(it.Now);
  CHECK_FALSE(node.Table.blocks(7, "s", it.Now));
  it.pass(2s);
  node.tick(it.Now);
  CHECK(it.stored().empty());
}

TEST_CASE("a request that two services quarantine is kept for both") {
  // Guards against the entry of one service that replaces the other's.
  Fixture it;
  auto node = it.start();
  for (const char *service : {"s", "other"})
    for (int crashes = 0; crashes < 2; ++crashes)
      node.Table.crashed(7, service, it.Now);
  for (int n = 0; n < 4; ++n, it.pass(1s))
    node.tick(it.Now);
  CHECK(std::set<std::string>(node.Published.begin(), node.Published.end())
            .size() == 4);
  auto next = it.start();
  next.restore(it.Now);
  CHECK(next.Table.blocks(7, "s", it.Now));
  CHECK(next.Table.blocks(7, "other", it.Now));
  CHECK(next.Notices.lift(7, next.publisher(), it.Now));
  CHECK(next.Published.size() == 4);
  for (int n = 0; n < 4; ++n, it.pass(1s))
    next.tick(it.Now);
  auto last = it.start();
  last.restore(it.Now);
  CHECK(last.Table.entries(it.Now).empty());
}

TEST_CASE("many entries are written one after the other") {
  // Guards against a node that takes all writes that the store allows.
  Fixture it;
  auto node = it.start();
  for (uint64_t fingerprint = 1; fingerprint <= 50; ++fingerprint)
    for (int crashes = 0; crashes < 2; ++crashes)
      node.Table.crashed(fingerprint, "s", it.Now);
  for (int n = 0; n < 10; ++n, it.pass(50ms))
    node.tick(it.Now);
  CHECK(it.Content.Topics[log::Topic::Departures].Records.size() <= 6);
}

TEST_CASE("a notice learnt late lasts no longer than the entry") {
  // Guards against entries that circulate for ever.
  Fixture it;
  auto node = it.start();
  node.Notices.receive("quarantine/7/2", "s", 5s, it.Now);
  CHECK(node.Table.blocks(7, "s", it.Now));
  it.pass(6s);
  CHECK_FALSE(node.Table.blocks(7, "s", it.Now));
  // An empty text lifts it.
  node.Notices.receive("quarantine/7/2", "s", 5min, it.Now);
  node.Notices.receive("quarantine/7/2", "", 5min, it.Now);
  CHECK_FALSE(node.Table.blocks(7, "s", it.Now));
}

TEST_CASE("records that cannot be read are passed over") {
  Fixture it;
  for (const char *text : {"", "[]", "{", R"({"service":"s"})",
                           R"({"service":7,"node":"n","until_unix_ms":9})"})
    it.Content.write(log::Topic::Departures, "quarantine/7", text);
  it.Content.write(log::Topic::Departures, "quarantine/x",
                   R"({"service":"s","node":"n","until_unix_ms":9})");
  it.Content.write(log::Topic::Departures, "n1", R"({"t":5})");
  auto node = it.start();
  node.restore(it.Now);
  CHECK(node.Table.entries(it.Now).empty());
}
