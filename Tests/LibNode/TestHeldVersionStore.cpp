#include <LibNode/HeldVersionStore.h>

#include <doctest/doctest.h>
#include <vector>

using namespace radishcross;
using namespace std::chrono_literals;
using node::VersionNumbers;

namespace {

/// A store that records its calls; the test supplies the answers.
class MockStore final : public log::KeyedStore {
public:
  struct Put {
    std::string Key;
    std::string Value;
    std::function<void(log::PutAnswer)> Done;
  };
  void put(log::Topic topic, std::string key, std::string value,
           std::function<void(log::PutAnswer)> done) override {
    CHECK(topic == log::Topic::Holdings);
    Puts.push_back({std::move(key), std::move(value), std::move(done)});
  }
  void drop(log::Topic, std::vector<std::string>,
            std::function<void(log::PutAnswer)>) override {
    FAIL("holdings are not dropped");
  }
  void list(log::Topic topic,
            std::function<void(log::TopicAnswer)> done) override {
    CHECK(topic == log::Topic::Holdings);
    Lists.push_back(std::move(done));
  }
  void follow(log::Topic, uint64_t, base::Duration,
              std::function<void(log::TopicAnswer)>) override {
    FAIL("holdings are not followed");
  }

  std::vector<Put> Puts;
  std::vector<std::function<void(log::TopicAnswer)>> Lists;
};

base::TimePoint at(base::Duration time) { return base::TimePoint{} + time; }

log::PutAnswer putAnswer(log::PutAnswer::Kind outcome) {
  log::PutAnswer out;
  out.Outcome = outcome;
  return out;
}

} // namespace

TEST_CASE("held versions are written once, and again when they change") {
  MockStore store;
  node::HeldVersionStore versionStore(store, "n1", [] {});
  versionStore.tick(at(1s));
  CHECK(store.Puts.empty());
  versionStore.setDesired({{"badges", 1}});
  versionStore.tick(at(1s));
  versionStore.setDesired({{"badges", 2}});
  versionStore.tick(at(2s)); // One write at a time.
  REQUIRE(store.Puts.size() == 1);
  CHECK(store.Puts[0].Key == "n1");
  CHECK(store.Puts[0].Value == R"({"badges":1})");
  CHECK_FALSE(versionStore.isStored({{"badges", 1}}));
  store.Puts[0].Done(putAnswer(log::PutAnswer::Kind::Accepted));
  versionStore.tick(at(2s));
  REQUIRE(store.Puts.size() == 2);
  CHECK(store.Puts[1].Value == R"({"badges":2})");
  store.Puts[1].Done(putAnswer(log::PutAnswer::Kind::Accepted));
  CHECK(versionStore.isStored({{"badges", 2}}));
  versionStore.tick(at(9s));
  CHECK(store.Puts.size() == 2);
}

TEST_CASE("a refused or lost write is retried after a second") {
  for (auto outcome :
       {log::PutAnswer::Kind::Refused, log::PutAnswer::Kind::Unknown}) {
    MockStore store;
    node::HeldVersionStore versionStore(store, "n1", [] {});
    versionStore.setDesired({{"badges", 1}});
    versionStore.tick(at(1s));
    REQUIRE(store.Puts.size() == 1);
    store.Puts[0].Done(putAnswer(outcome));
    versionStore.tick(at(1500ms));
    CHECK(store.Puts.size() == 1);
    versionStore.tick(at(2s));
    CHECK(store.Puts.size() == 2);
  }
}

TEST_CASE("the earlier process's versions are loaded by the node's own key") {
  MockStore store;
  node::HeldVersionStore versionStore(store, "n1", [] {});
  std::vector<VersionNumbers> found;
  versionStore.load([&](const VersionNumbers &it) { found.push_back(it); });
  REQUIRE(store.Lists.size() == 1);
  log::TopicAnswer answer;
  answer.Reached = true;
  answer.Records = {{0, "n0", R"({"badges":9})"}, {1, "n1", R"({"badges":3})"}};
  store.Lists[0](answer);
  REQUIRE(found.size() == 1);
  CHECK(found[0] == VersionNumbers{{"badges", 3}});
  versionStore.tick(at(500ms)); // Loaded versions are not overwritten.
  CHECK(store.Puts.empty());
  versionStore.setDesired({{"badges", 3}});
  versionStore.tick(at(1s)); // The store has it already.
  CHECK(store.Puts.empty());
}

TEST_CASE("without an answer, or with a malformed record, nothing is loaded") {
  for (const char *text :
       {"", "[]", R"({"badges":"3"})", R"({"badges":-1})", R"({"badges":0.5})",
        R"({"badges":1e400})", R"({"badges":-1e400})", R"({"badges":1e308})",
        R"({"badges":18446744073709551616})", R"({"badges":null})",
        R"({"badges":[3]})", R"({"badges":{}})", "\xff", "NaN"}) {
    CAPTURE(std::string(text));
    MockStore store;
    node::HeldVersionStore versionStore(store, "n1", [] {});
    std::vector<VersionNumbers> found;
    versionStore.load([&](const VersionNumbers &it) { found.push_back(it); });
    log::TopicAnswer answer;
    answer.Reached = *text != 0;
    if (answer.Reached)
      answer.Records = {{0, "n1", text}};
    store.Lists[0](answer);
    CHECK(found == std::vector<VersionNumbers>{{}});
  }
}

TEST_CASE("a recorded version that no log can have is not waited for") {
  for (const char *text :
       {R"({"badges":18446744073709551615})",
        R"({"badges":9223372036854775808})",
        R"({"badges":9223372036854775807})", R"({"badges":1e18})"}) {
    CAPTURE(std::string(text));
    base::LastReason reason;
    CHECK_FALSE(node::decodeHoldings(text, reason));
    CHECK(reason.code() == base::ResultCode::RecordMalformed);
  }
}

TEST_CASE("an odd record of this node's holdings is written over") {
  MockStore store;
  node::HeldVersionStore versionStore(store, "n1", [] {});
  versionStore.load([](const VersionNumbers &) {});
  log::TopicAnswer answer;
  answer.Reached = true;
  answer.Records = {{0, "n1", R"({"badges":1e400})"}};
  store.Lists[0](answer);
  versionStore.setDesired({{"badges", 3}});
  versionStore.tick(at(1s));
  CHECK(store.Puts.size() == 1);
}
